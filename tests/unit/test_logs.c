#include "unit/suites.h"

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "chervilmast/histogram.h"
#include "daemon/log.h"
#include "daemon/log_buffer.h"
#include "daemon/metrics_text.h"

#define LINES_PER_S 200
#define LINES 100000

static struct cm_log_buffer buffer;

static void setup(void)
{
	cm_log_buffer_init(&buffer, LINES_PER_S);
}

UNIT_CASE("logs", "logs", setup, NULL, UNIT_TIMEOUT_S);

/*
 * CM_EVENT_FLOW_PLACED may use at most half of the lines per second, so that
 * refusals and state changes can be logged while many new flows are placed.
 */
TEST(placed_flows_use_at_most_half_of_the_lines)
{
	uint32_t placed = 0, refused = 0;

	for (int i = 0; i < LINES; i++)
		placed +=
			cm_log_buffer_allows(&buffer, CM_EVENT_FLOW_PLACED, 7);
	for (int i = 0; i < LINES; i++)
		refused +=
			cm_log_buffer_allows(&buffer, CM_EVENT_FLOW_REFUSED, 7);
	ck_assert_uint_eq(placed, LINES_PER_S / 2);
	ck_assert_uint_eq(refused, LINES_PER_S / 2);
	ck_assert_uint_eq(buffer.unreported[CM_EVENT_FLOW_PLACED],
			  LINES - LINES_PER_S / 2);
	ck_assert_uint_eq(buffer.unreported[CM_EVENT_FLOW_REFUSED],
			  LINES - LINES_PER_S / 2);
	ck_assert(cm_log_buffer_allows(&buffer, CM_EVENT_FLOW_PLACED, 8));
}

/* Adds and removes more bytes than the ring buffer holds, so that lines also
 * wrap around its end. */
TEST(ring_buffer_returns_lines_unchanged)
{
	char line[64], received[64];
	size_t length;

	for (int i = 0; i < 5000; i++) {
		int size = snprintf(line, sizeof(line), "line %d of many\n", i);
		size_t used = 0;

		cm_log_buffer_add(&buffer, CM_EVENT_STARTED, line,
				  (size_t)size);
		while (buffer.used) {
			const char *bytes =
				cm_log_buffer_next(&buffer, &length);

			memcpy(received + used, bytes, length);
			used += length;
			cm_log_buffer_consume(&buffer, length);
		}
		ck_assert_uint_eq(used, (size_t)size);
		ck_assert_mem_eq(received, line, used);
	}
}

TEST(full_buffer_counts_dropped_lines)
{
	static char line[1000];

	memset(line, 'x', sizeof(line));
	for (int i = 0; i < 100; i++)
		cm_log_buffer_add(&buffer, CM_EVENT_PLAN, line, sizeof(line));
	/* The 65,536 bytes of CM_LOG_BUFFER_SIZE hold 65 of the 100 lines. */
	ck_assert_uint_eq(buffer.used, 65 * sizeof(line));
	ck_assert_uint_eq(buffer.unreported[CM_EVENT_PLAN], 35);
}

/*
 * While nobody reads standard output, cm_log() must not block. Lines that do
 * not fit into the buffer must be dropped and counted.
 */
TEST(blocked_reader_does_not_block_logging)
{
	int pipe_fds[2];
	int saved_stdout = dup(STDOUT_FILENO);
	uint64_t dropped;

	ASSERT_OK(pipe(pipe_fds));
	fflush(stdout);
	dup2(pipe_fds[1], STDOUT_FILENO);
	cm_log_init(CM_LOG_INFO);
	cm_log_set_rate_limit(0);
	for (int i = 0; i < 10000; i++) {
		cm_log(CM_EVENT_PLAN, "version=%d", i);
		if (i % 10 == 0)
			cm_log_flush();
	}
	dropped = cm_log_dropped();
	dup2(saved_stdout, STDOUT_FILENO);
	close(saved_stdout);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
	ck_assert_uint_gt(dropped, 5000);
}

/* Guards against lines that a value from the registry begins. */
TEST(value_with_a_line_break_stays_in_its_line)
{
	char line[512];
	int pipe_fds[2];
	int saved_stdout = dup(STDOUT_FILENO);
	ssize_t length;

	ASSERT_OK(pipe(pipe_fds));
	fflush(stdout);
	dup2(pipe_fds[1], STDOUT_FILENO);
	cm_log_init(CM_LOG_INFO);
	cm_log(CM_EVENT_PEER_ENTRY, "peer=%s", "a\n\x7f\tevent=plan");
	cm_log_flush();
	dup2(saved_stdout, STDOUT_FILENO);
	close(saved_stdout);
	close(pipe_fds[1]);
	length = read(pipe_fds[0], line, sizeof(line) - 1);
	close(pipe_fds[0]);
	ck_assert_int_gt(length, 0);
	line[length] = '\0';
	ck_assert_ptr_nonnull(strstr(line, "peer=a???event=plan\n"));
	ck_assert_ptr_eq(strchr(line, '\n'), line + length - 1);
}

/* Values, and the index of the bucket that has to count them. */
static const struct {
	uint64_t value_ms;
	int bucket;
} bucket_cases[] = {
	{ 0, 0 }, { 1, 0 },   { 2, 1 },	     { 3, 2 },
	{ 7, 3 }, { 100, 6 }, { 10000, 12 }, { 10001, 13 },
};

TEST_TABLE(value_is_counted_in_its_bucket, bucket_cases)
{
	static struct cm_histograms histograms;
	struct cm_histogram histogram;

	memset(&histograms, 0, sizeof(histograms));
	cm_histograms_add(&histograms, CM_H_FLOW, bucket_cases[_i].value_ms);
	cm_histograms_read(&histograms, CM_H_FLOW, &histogram);
	ck_assert_uint_eq(histogram.buckets[bucket_cases[_i].bucket], 1);
	ck_assert_uint_eq(histogram.sum, bucket_cases[_i].value_ms);
}

/* Each bucket must include all smaller ones, and the last one all values. */
TEST(histogram_text_is_cumulative)
{
	static struct cm_histograms histograms;
	GString *text = g_string_new(NULL);

	cm_histograms_add(&histograms, CM_H_FLOW, 1);
	cm_histograms_add(&histograms, CM_H_FLOW, 3);
	cm_histograms_add(&histograms, CM_H_FLOW, 20000);
	cm_metrics_append_histogram(text, &histograms, CM_H_FLOW);
	ck_assert_ptr_nonnull(strstr(text->str,
				     "# TYPE chervilmast_flow_milliseconds "
				     "histogram\n"));
	ck_assert_ptr_nonnull(
		strstr(text->str,
		       "chervilmast_flow_milliseconds_bucket{le=\"1\"} 1\n"));
	ck_assert_ptr_nonnull(
		strstr(text->str,
		       "chervilmast_flow_milliseconds_bucket{le=\"5\"} 2\n"));
	ck_assert_ptr_nonnull(strstr(
		text->str,
		"chervilmast_flow_milliseconds_bucket{le=\"+Inf\"} 3\n"));
	ck_assert_ptr_nonnull(
		strstr(text->str, "chervilmast_flow_milliseconds_sum 20004\n"));
	ck_assert_ptr_nonnull(
		strstr(text->str, "chervilmast_flow_milliseconds_count 3\n"));
	g_string_free(text, TRUE);
}
