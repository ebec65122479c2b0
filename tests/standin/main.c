#include "standin/standin.h"

#include <stdio.h>
#include <string.h>

int main(int argc, char **argv)
{
	if (argc > 1 && !strcmp(argv[1], "store"))
		return standin_store(argc - 1, argv + 1);
	if (argc > 1 && !strcmp(argv[1], "platform"))
		return standin_platform(argc - 1, argv + 1);
	if (argc > 1 && !strcmp(argv[1], "switch"))
		return standin_set_faults(argc - 1, argv + 1);
	if (argc > 1 && !strcmp(argv[1], "world"))
		return standin_world(argc - 1, argv + 1);
	fputs("usage: standin store|platform|switch|world ...\n", stderr);
	return 2;
}
