#include "chervilmast/error.h"

const char *cm_error_name(int error)
{
	switch (error) {
	case CM_OK:
		return "ok";
#define CM_ERROR_CASE(constant, number, name) \
	case constant:                        \
		return name;
		CM_ERRORS(CM_ERROR_CASE)
#undef CM_ERROR_CASE
	default:
		return "unknown";
	}
}
