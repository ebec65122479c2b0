#include "bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define NS_PER_S 1000000000u

uint64_t bench_now_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * NS_PER_S + (uint64_t)now.tv_nsec;
}

void bench_add_figure(json_t *report, const char *name, double value)
{
	json_object_set_new(report, name, json_real(value));
}

/* Adds the figures of a file with key=value lines. */
static int merge_lines(json_t *report, const char *file)
{
	FILE *stream = fopen(file, "r");
	char name[64];
	double value;

	if (!stream)
		return 1;
	while (fscanf(stream, " %63[^=]=%lf", name, &value) == 2)
		bench_add_figure(report, name, value);
	fclose(stream);
	return 0;
}

/* The last file has key=value lines; each of the others has a JSON object. */
static int merge(json_t *report, int count, char **files)
{
	for (int i = 0; i < count - 1; i++) {
		json_t *part = json_load_file(files[i], 0, NULL);

		if (!part || json_object_update(report, part))
			return 1;
		json_decref(part);
	}
	return merge_lines(report, files[count - 1]);
}

static int usage(void)
{
	fputs("usage: measure core SEED REPORT\n"
	      "       measure link INSTANCE_ADDRESS FABRIC_ADDRESS "
	      "FABRIC_PORT REPORT\n"
	      "       measure merge REPORT JSON_FILE... KEY_VALUE_FILE\n",
	      stderr);
	return 3;
}

static int write_report(json_t *report, const char *file)
{
	int failed = json_dump_file(report, file,
				    JSON_INDENT(2) | JSON_REAL_PRECISION(6));

	json_decref(report);
	return failed ? 1 : 0;
}

int main(int argc, char **argv)
{
	json_t *report = json_object();

	if (argc == 4 && !strcmp(argv[1], "core")) {
		uint64_t seed = strtoull(argv[2], NULL, 10);

		bench_schemes(report, seed);
		bench_loads(report, seed);
		bench_sizes(report);
		bench_packets(report);
		return write_report(report, argv[3]);
	}
	if (argc == 6 && !strcmp(argv[1], "link")) {
		if (bench_link(report, argv[2], argv[3],
			       (uint16_t)strtoul(argv[4], NULL, 10)))
			return 1;
		return write_report(report, argv[5]);
	}
	if (argc >= 4 && !strcmp(argv[1], "merge")) {
		if (merge(report, argc - 3, argv + 3))
			return 1;
		return write_report(report, argv[2]);
	}
	json_decref(report);
	return usage();
}
