#include "chervilmast/note_follower.h"

#include <string.h>

#include "chervilmast/error.h"
#include "chervilmast/flow_key.h"
#include "chervilmast/rendezvous.h"
#include "invariant.h"
#include "test_switch.h"

/* Rendezvous key that ranks the instances of a domain: "watchers" in ASCII. */
#define WATCHER_KEY 0x7761746368657273
/* Maximum sleep of the thread that calls the store, milliseconds. */
#define SLEEP_MS_MAX 100

/* Returns a random time between 0.5 and 1.5 times @ms. */
static uint64_t jitter(struct cm_note_follower *follower, uint64_t ms)
{
	follower->jitter_state = cm_hash_mix(follower->jitter_state, ms);
	return ms / 2 + follower->jitter_state % (ms + 1);
}

static uint64_t poll_interval_ms(const struct cm_note_follower *follower)
{
	uint64_t ms = (uint64_t)follower->live_count * CM_POLL_MS_PER_INSTANCE;

	if (ms < CM_POLL_MS_MIN)
		return CM_POLL_MS_MIN;
	return ms > CM_POLL_MS_MAX ? CM_POLL_MS_MAX : ms;
}

void cm_note_follower_init(struct cm_note_follower *follower,
			   const struct cm_member *self, uint64_t now_ms)
{
	memset(follower, 0, sizeof(*follower));
	pthread_mutex_init(&follower->lock, NULL);
	follower->self = *self;
	follower->jitter_state = cm_endpoint_hash(&self->data_address);
	follower->live_count = 1;
	follower->is_watcher = true;
	follower->is_read_due = true;
	follower->next_call_ms = now_ms + jitter(follower, CM_START_DELAY_MS);
	follower->next_poll_ms =
		now_ms + jitter(follower, poll_interval_ms(follower));
}

void cm_note_follower_finish(struct cm_note_follower *follower)
{
	pthread_mutex_destroy(&follower->lock);
}

static double watch_score(const struct cm_member *member)
{
	return cm_rendezvous_score(WATCHER_KEY,
				   cm_endpoint_hash(&member->data_address), 1);
}

static bool is_live(const struct cm_member *member)
{
	return member->state == CM_MEMBER_ALIVE ||
	       member->state == CM_MEMBER_LEAVING;
}

/*
 * Whether @member is alive, in the failure domain of this instance and ranked
 * before it.
 */
static bool ranks_before_self(const struct cm_note_follower *follower,
			      const struct cm_member *member)
{
	const struct cm_member *self = &follower->self;

	return member->state == CM_MEMBER_ALIVE &&
	       cm_name_equal(member->domain, self->domain) &&
	       !cm_endpoint_equal(&member->data_address, &self->data_address) &&
	       watch_score(member) > watch_score(self);
}

void cm_note_follower_set_members(struct cm_note_follower *follower,
				  uint64_t now_ms,
				  const struct cm_member *members,
				  uint32_t count)
{
	uint32_t ranked_before_count = 0;
	uint32_t live = 0;
	uint64_t interval_ms;
	bool is_watcher;

	for (uint32_t i = 0; i < count; i++) {
		live += is_live(&members[i]);
		ranked_before_count += ranks_before_self(follower, &members[i]);
	}
	is_watcher = ranked_before_count < CM_WATCHERS_PER_DOMAIN;
	pthread_mutex_lock(&follower->lock);
	follower->live_count = live ? live : 1;
	if (is_watcher && !follower->is_watcher)
		follower->is_read_due = true;
	follower->is_watcher = is_watcher;
	interval_ms = poll_interval_ms(follower);
	/*
	 * A poll is scheduled at most 1.5 intervals ahead. If it is more than 2
	 * intervals ahead, the interval has become shorter since then, and the
	 * poll is rescheduled.
	 */
	if (follower->next_poll_ms > now_ms + 2 * interval_ms)
		follower->next_poll_ms = now_ms + jitter(follower, interval_ms);
	pthread_mutex_unlock(&follower->lock);
}

static void remove_outdated_sources(struct cm_note_follower *follower)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < follower->source_count; i++)
		if (follower->sources[i].version > follower->version)
			follower->sources[kept++] = follower->sources[i];
	follower->source_count = kept;
}

void cm_note_follower_set_version(struct cm_note_follower *follower,
				  uint64_t version,
				  const uint8_t *publication_id)
{
	pthread_mutex_lock(&follower->lock);
	CM_INVARIANT(version > follower->version);
	follower->version = version;
	memcpy(follower->publication_id, publication_id,
	       CM_PUBLICATION_ID_SIZE);
	remove_outdated_sources(follower);
	pthread_mutex_unlock(&follower->lock);
}

static bool id_equal(const uint8_t *a, const uint8_t *b)
{
	return !memcmp(a, b, CM_PUBLICATION_ID_SIZE);
}

int cm_note_follower_set_store_version(struct cm_note_follower *follower,
				       uint64_t version,
				       const uint8_t *publication_id)
{
	int error = CM_OK;

	pthread_mutex_lock(&follower->lock);
	if (version && version == follower->version &&
	    !id_equal(publication_id, follower->publication_id)) {
		follower->is_contradicted = true;
		error = CM_E_CONTRADICTION;
	} else if (version >= follower->store_version) {
		follower->store_version = version;
		memcpy(follower->store_publication_id, publication_id,
		       CM_PUBLICATION_ID_SIZE);
	}
	pthread_mutex_unlock(&follower->lock);
	return error;
}

static int check_version(const struct cm_note_follower *follower,
			 uint64_t version, const uint8_t *publication_id)
{
	if (version == follower->version &&
	    !id_equal(publication_id, follower->publication_id))
		return CM_E_CONTRADICTION;
	if (version <= follower->version &&
	    !cm_switched_off(CM_SWITCH_HIGHER_VERSION))
		return CM_E_STALE;
	if (cm_switched_off(CM_SWITCH_HEAD_CHECK))
		return CM_OK;
	if (follower->is_contradicted)
		return CM_E_CONTRADICTION;
	if (version == follower->store_version &&
	    !id_equal(publication_id, follower->store_publication_id))
		return CM_E_CONTRADICTION;
	return CM_OK;
}

int cm_note_follower_check_note(struct cm_note_follower *follower,
				uint64_t version, const uint8_t *publication_id)
{
	int error;

	pthread_mutex_lock(&follower->lock);
	error = check_version(follower, version, publication_id);
	if (!error && version > follower->version + 1)
		error = CM_E_VERSION_GAP;
	pthread_mutex_unlock(&follower->lock);
	return error;
}

int cm_note_follower_check_snapshot(struct cm_note_follower *follower,
				    uint64_t version,
				    const uint8_t *publication_id)
{
	int error;

	pthread_mutex_lock(&follower->lock);
	error = check_version(follower, version, publication_id);
	pthread_mutex_unlock(&follower->lock);
	return error;
}

/*
 * Returns the entry of the peer, else a free entry, else the one with the
 * lowest version.
 */
static struct cm_note_source *
choose_source_entry(struct cm_note_follower *follower,
		    const struct cm_endpoint *control)
{
	struct cm_note_source *lowest = &follower->sources[0];

	for (uint32_t i = 0; i < follower->source_count; i++) {
		struct cm_note_source *source = &follower->sources[i];

		if (cm_endpoint_equal(&source->control, control))
			return source;
		if (source->version < lowest->version)
			lowest = source;
	}
	if (follower->source_count < CM_NOTE_SOURCES_MAX)
		return &follower->sources[follower->source_count++];
	return lowest;
}

void cm_note_follower_add_source(struct cm_note_follower *follower,
				 const struct cm_endpoint *control,
				 uint64_t version)
{
	struct cm_note_source *source;

	pthread_mutex_lock(&follower->lock);
	if (version > follower->version) {
		source = choose_source_entry(follower, control);
		source->control = *control;
		source->version = version;
	}
	pthread_mutex_unlock(&follower->lock);
}

static uint32_t limit_ms(uint64_t ms, uint32_t max_ms)
{
	return ms > max_ms ? max_ms : (uint32_t)ms;
}

static enum cm_follow_step choose_step(const struct cm_note_follower *follower,
				       uint64_t now_ms, uint32_t *wait_ms)
{
	bool poll_is_due = now_ms >= follower->next_poll_ms;

	*wait_ms = SLEEP_MS_MAX;
	if (now_ms < follower->next_call_ms) {
		*wait_ms =
			limit_ms(follower->next_call_ms - now_ms, SLEEP_MS_MAX);
		return CM_FOLLOW_SLEEP;
	}
	if (poll_is_due || follower->is_read_due)
		return CM_FOLLOW_READ;
	if (!follower->is_watcher)
		return CM_FOLLOW_SLEEP;
	*wait_ms =
		limit_ms(follower->next_poll_ms - now_ms, CM_WATCH_TIMEOUT_MS);
	return CM_FOLLOW_WATCH;
}

enum cm_follow_step
cm_note_follower_next_step(struct cm_note_follower *follower, uint64_t now_ms,
			   uint32_t *wait_ms)
{
	enum cm_follow_step step;

	pthread_mutex_lock(&follower->lock);
	step = choose_step(follower, now_ms, wait_ms);
	pthread_mutex_unlock(&follower->lock);
	return step;
}

static uint64_t retry_delay_ms(struct cm_note_follower *follower)
{
	uint64_t ms = CM_STORE_RETRY_MS;

	for (uint32_t i = 1;
	     i < follower->failures && ms < CM_STORE_RETRY_MS_MAX; i++)
		ms *= 2;
	return jitter(follower, ms);
}

static bool is_failure(enum cm_follow_step step, int error)
{
	if (step == CM_FOLLOW_WATCH &&
	    (error == CM_E_TIMEOUT || error == CM_E_COMPACTED))
		return false;
	return error != CM_OK;
}

static void schedule_poll(struct cm_note_follower *follower, uint64_t now_ms)
{
	follower->failures = 0;
	follower->is_read_due = false;
	follower->next_poll_ms =
		now_ms + jitter(follower, poll_interval_ms(follower));
}

/*
 * Only watchers and instances without a note retry with backoff. The others get
 * notes from peers and wait for their next poll.
 */
static void schedule_retry(struct cm_note_follower *follower, uint64_t now_ms)
{
	if (!follower->is_watcher && follower->version) {
		schedule_poll(follower, now_ms);
		return;
	}
	follower->failures++;
	follower->next_call_ms = now_ms + retry_delay_ms(follower);
	follower->is_read_due = true;
}

/*
 * A watch ends without a timeout if the store changed or if the watched
 * revision was compacted. In both cases the store must be read.
 */
void cm_note_follower_step_done(struct cm_note_follower *follower,
				uint64_t now_ms, enum cm_follow_step step,
				int error)
{
	pthread_mutex_lock(&follower->lock);
	if (is_failure(step, error))
		schedule_retry(follower, now_ms);
	else if (step == CM_FOLLOW_READ)
		schedule_poll(follower, now_ms);
	else if (error != CM_E_TIMEOUT)
		follower->is_read_due = true;
	pthread_mutex_unlock(&follower->lock);
}

/*
 * Removes the chosen source, so that a peer that does not answer is not chosen
 * again until it reports its version in another message.
 */
bool cm_note_follower_next_request(struct cm_note_follower *follower,
				   uint64_t now_ms, struct cm_endpoint *control)
{
	bool request_is_due;

	pthread_mutex_lock(&follower->lock);
	request_is_due = follower->source_count &&
			 now_ms >= follower->next_request_ms &&
			 !follower->is_contradicted;
	if (request_is_due) {
		*control = follower->sources[0].control;
		/* remove_outdated_sources() removes version 0. */
		follower->sources[0].version = 0;
		remove_outdated_sources(follower);
		follower->next_request_ms =
			now_ms + CM_NOTES_REQUEST_TIMEOUT_MS;
	}
	pthread_mutex_unlock(&follower->lock);
	return request_is_due;
}

void cm_note_follower_peer_answered(struct cm_note_follower *follower,
				    uint64_t now_ms,
				    const struct cm_endpoint *control,
				    uint64_t version)
{
	cm_note_follower_add_source(follower, control, version);
	pthread_mutex_lock(&follower->lock);
	follower->next_request_ms = now_ms;
	pthread_mutex_unlock(&follower->lock);
}
