#include "unit/suites.h"

#include <ck_pr.h>
#include <pthread.h>
#include <stdlib.h>

#include "chervilmast/steer_explain.h"
#include "unit/steering.h"

#define FLOWS 2000
#define SERVERS 50

UNIT_CASE("threads", "explain", steering_setup, steering_teardown,
	  UNIT_TIMEOUT_S);

static uint32_t stopping;

/* Explains until the packets end. Returns NULL when all explanations were
 * complete. */
static void *explain_repeatedly(void *user)
{
	struct cm_explanation *explanation = malloc(sizeof(*explanation));
	void *failed = NULL;

	(void)user;
	while (!ck_pr_load_32(&stopping) && !failed)
		if (cm_steer_explain(&steering, STEERING_START_MS,
				     &steering_route, 0, explanation) ||
		    explanation->services[0].candidate_count +
				    explanation->services[0].excluded_count !=
			    2 * SERVERS)
			failed = &stopping;
	free(explanation);
	return failed;
}

/* Guards against explanations that take effect on flows that are placed at the
 * same time, and against accesses without the lock. */
TEST(explanations_beside_packets_change_no_placement)
{
	uint64_t order[SERVERS];
	pthread_t thread;
	void *failed;

	steering_make_ready(SERVERS);
	ck_pr_store_32(&stopping, 0);
	pthread_create(&thread, NULL, explain_repeatedly, NULL);
	for (uint32_t i = 0; i < FLOWS; i++) {
		uint16_t port = (uint16_t)(i % 100 + 1);
		struct cm_steer_verdict verdict = steering_send_syn(port, 0);

		/* All servers are idle, so they get flows in turn. */
		if (i < SERVERS)
			order[i] = verdict.server_id;
		ck_assert_uint_eq(verdict.server_id, order[i % SERVERS]);
		steering_send_packet(port, verdict.token, CM_STEER_ACK);
		steering_end_flow(port, verdict.token, STEERING_ANSWER_BYTES);
	}
	ck_pr_store_32(&stopping, 1);
	pthread_join(thread, &failed);
	ck_assert_ptr_null(failed);
}
