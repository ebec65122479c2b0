/**
 * DOC: Benchmarks
 *
 * Each benchmark adds its figures to one JSON object, which `make measure`
 * writes to build/measure.json. Decisions are measured in virtual time,
 * speeds in real time.
 */
#ifndef BENCH_BENCH_H
#define BENCH_BENCH_H

#include <jansson.h>
#include <stdint.h>

/**
 * bench_schemes() - count the connections that each balancing scheme breaks
 * @report: object to add the figures to
 * @seed: seed of the events, which are the same for all schemes
 */
void bench_schemes(json_t *report, uint64_t seed);

/**
 * bench_loads() - measure balance, overshoot, overload and retries
 * @report: object to add the figures to
 * @seed: seed of the callers
 */
void bench_loads(json_t *report, uint64_t seed);

/**
 * bench_sizes() - measure processor time and memory at several sizes
 * @report: object to add the figures to
 */
void bench_sizes(json_t *report);

/**
 * bench_packets() - measure packets per second through the core
 * @report: object to add the figures to
 */
void bench_packets(json_t *report);

/**
 * bench_link() - measure packets per second through an instance over loopback
 * @report: object to add the figures to
 * @instance: IPv4 address of the entry instance, as text
 * @fabric: IPv4 address of the fabric in its settings, as text
 * @fabric_port: port of the fabric in its settings
 *
 * Return: 0, or 1 when a socket could not be opened or the instance did not
 * admit all flows.
 */
int bench_link(json_t *report, const char *instance, const char *fabric,
	       uint16_t fabric_port);

/**
 * bench_now_ns() - read the monotonic clock
 *
 * Return: time since an arbitrary start, ns.
 */
uint64_t bench_now_ns(void);

/**
 * bench_add_figure() - add a figure
 * @report: object to add the figure to
 * @name: name of the figure
 * @value: value of the figure
 */
void bench_add_figure(json_t *report, const char *name, double value);

#endif
