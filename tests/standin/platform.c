#include "standin/standin.h"

#include <jansson.h>
#include <signal.h>
#include <stdlib.h>

#include "standin/platform_store.h"

static int load_keys(struct platform_standin *store, const char *file)
{
	json_t *root = json_load_file(file, 0, NULL);
	const char *key;
	json_t *value;

	if (!root)
		return -1;
	json_object_foreach (root, key, value) {
		char *text = json_dumps(value, JSON_COMPACT);

		platform_standin_put(store, key, text);
		free(text);
	}
	json_decref(root);
	return 0;
}

int standin_platform(int argc, char **argv)
{
	static struct platform_standin store;
	sigset_t signals;
	int caught, result;

	if (argc < 3)
		return 2;
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	if (!platform_standin_start(&store, (uint16_t)atoi(argv[1])))
		return 1;
	result = load_keys(&store, argv[2]) ? 2 : 0;
	if (!result)
		sigwait(&signals, &caught);
	platform_standin_stop(&store);
	return result;
}
