#include "standin/domain_watch.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

/* Packets to the domain count as late from this time after it was taken out.
 * The requirement is no traffic "after a few seconds". */
#define DOMAIN_OUT_GRACE_MS 3000
#define SHARE_WINDOW_MS 500
/* Part of its share of new connections from which a domain counts as restored.
 */
#define RESTORED_PERCENT 80
#define PERCENT 100

static volatile sig_atomic_t taken_out;
static volatile sig_atomic_t brought_back;

static void handle_signal(int number)
{
	if (number == SIGUSR1)
		taken_out = 1;
	else
		brought_back = 1;
}

void domain_watch_init(struct domain_watch *watch, const char *domain)
{
	struct sigaction action = { .sa_handler = handle_signal };

	memset(watch, 0, sizeof(*watch));
	snprintf(watch->domain, sizeof(watch->domain), "%s", domain);
	sigaction(SIGUSR1, &action, NULL);
	sigaction(SIGUSR2, &action, NULL);
}

static uint64_t count_accepted(const struct fake_world *world,
			       const char *domain)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < world->host_count; i++)
		if (!domain || cm_name_equal(world->hosts[i].domain, domain))
			sum += world->hosts[i].accepted;
	return sum;
}

static uint32_t count_hosts(const struct fake_world *world, const char *domain)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < world->host_count; i++)
		count += cm_name_equal(world->hosts[i].domain, domain);
	return count;
}

static void measure_share(struct domain_watch *watch,
			  const struct fake_world *world)
{
	uint64_t in_domain = count_accepted(world, watch->domain);
	uint64_t all = count_accepted(world, NULL);
	uint64_t required = (uint64_t)count_hosts(world, watch->domain) *
			    RESTORED_PERCENT *
			    (all - watch->window_total_accepted);

	if (world->now_ms < watch->window_start_ms + SHARE_WINDOW_MS)
		return;
	if (all > watch->window_total_accepted &&
	    (in_domain - watch->window_domain_accepted) * world->host_count *
			    PERCENT >=
		    required)
		watch->restored_ms = world->now_ms;
	watch->window_start_ms = world->now_ms;
	watch->window_domain_accepted = in_domain;
	watch->window_total_accepted = all;
}

void domain_watch_tick(struct domain_watch *watch, struct fake_world *world)
{
	if (taken_out && !watch->taken_out_ms) {
		watch->taken_out_ms = world->now_ms;
		memcpy(world->domain_out, watch->domain, CM_NAME_SIZE);
		world->domain_out_grace_end_ms =
			world->now_ms + DOMAIN_OUT_GRACE_MS;
	}
	if (brought_back && !watch->brought_back_ms) {
		watch->brought_back_ms = world->now_ms;
		world->domain_out[0] = '\0';
		watch->window_start_ms = world->now_ms;
		watch->window_domain_accepted =
			count_accepted(world, watch->domain);
		watch->window_total_accepted = count_accepted(world, NULL);
	}
	if (watch->brought_back_ms && !watch->restored_ms)
		measure_share(watch, world);
}

void domain_watch_print(const struct domain_watch *watch,
			const struct fake_world *world)
{
	uint64_t last_ms =
		world->last_domain_out_packet_ms > watch->taken_out_ms ?
			world->last_domain_out_packet_ms - watch->taken_out_ms :
			0;

	if (!watch->taken_out_ms)
		return;
	printf("failure_domain_out_last_packet_ms=%llu "
	       "failure_domain_out_late_packets=%llu given_up=%llu\n",
	       (unsigned long long)last_ms,
	       (unsigned long long)world->totals.domain_out_packets,
	       (unsigned long long)world->totals.given_up);
	if (watch->restored_ms)
		printf("failure_domain_back_ms=%llu\n",
		       (unsigned long long)(watch->restored_ms -
					    watch->brought_back_ms));
}
