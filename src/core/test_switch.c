#include "test_switch.h"

#ifdef CM_TEST_SWITCHES

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

static const char *const names[CM_SWITCH_COUNT] = {
#define CM_SWITCH_NAME(name, text) text,
	CM_SWITCHES(CM_SWITCH_NAME)
#undef CM_SWITCH_NAME
};

const char *cm_switch_name(enum cm_switch mechanism)
{
	return names[mechanism];
}

static pthread_once_t read_once = PTHREAD_ONCE_INIT;
static enum cm_switch disabled = CM_SWITCH_COUNT;

static void read_disabled(void)
{
	const char *text = getenv("CHERVILMAST_SWITCH_OFF");

#ifdef CM_SWITCHED_OFF
	if (!text)
		text = CM_SWITCHED_OFF;
#endif
	for (int i = 0; text && i < CM_SWITCH_COUNT; i++)
		if (!strcmp(text, names[i]))
			disabled = (enum cm_switch)i;
}

bool cm_switched_off(enum cm_switch mechanism)
{
	pthread_once(&read_once, read_disabled);
	return mechanism == disabled;
}

#endif
