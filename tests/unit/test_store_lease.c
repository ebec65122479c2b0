#include "unit/suites.h"

#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "chervilmast/error.h"
#include "unit/store_subject.h"

#define URL_SIZE 128
/* Timeout of a wait for the expiry of a lease, ms. */
#define EXPIRY_WAIT_MS 5000
/* A pause of the lease holder shorter than its lease of 20 s, ms. */
#define PAUSE_WITHIN_LEASE_MS 15000
/* A pause after which the lease expires during the wait that follows, ms. */
#define PAUSE_NEAR_EXPIRY_MS 19800
/* A pause longer than the lease, ms. */
#define PAUSE_PAST_EXPIRY_MS 60000

/* Posts to the stand-in. Sets @answer and returns the HTTP status. */
static long post(const struct store_subject *subject, const char *path,
		 const char *body, json_t **answer)
{
	char url[URL_SIZE];
	char *text;
	size_t size;
	FILE *stream = open_memstream(&text, &size);
	CURL *curl = curl_easy_init();
	long status = 0;

	snprintf(url, sizeof(url), "http://%s/v3/%s",
		 subject->etcd.http.authority, path);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, stream);
	ck_assert_int_eq(curl_easy_perform(curl), CURLE_OK);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	fclose(stream);
	*answer = json_loads(text, 0, NULL);
	free(text);
	return status;
}

static long post_status(const struct store_subject *subject, const char *path,
			const char *body)
{
	json_t *answer;
	long status = post(subject, path, body, &answer);

	json_decref(answer);
	return status;
}

static const char lease_id[] = "{\"ID\":\"7\"}";
static const char lease_grant[] = "{\"TTL\":\"20\",\"ID\":\"7\"}";
/* Writes the value "1" to key "a", in base64, with the lease. */
static const char lease_put[] =
	"{\"success\":[{\"requestPut\":{\"key\":\"YQ==\",\"value\":\"MQ==\","
	"\"lease\":\"7\"}}]}";

/**
 * struct lease_case - what happens to a lease, and the expected state
 * @paused_ms: duration of a final pause of the lease holder, ms
 * @renewed: the holder renews the lease before the pause
 * @renewal_answer_lost: the answer to that renewal is lost
 * @rewritten: the key is written again without the lease
 * @revoked: the lease is revoked
 * @key_exists: the key still exists afterwards
 * @lease_exists: the lease still exists afterwards
 */
struct lease_case {
	uint64_t paused_ms;
	bool renewed;
	bool renewal_answer_lost;
	bool rewritten;
	bool revoked;
	bool key_exists;
	bool lease_exists;
};

static const struct lease_case lease_cases[] = {
	{ .paused_ms = PAUSE_WITHIN_LEASE_MS,
	  .key_exists = true,
	  .lease_exists = true },
	{ .paused_ms = PAUSE_NEAR_EXPIRY_MS },
	{ .paused_ms = PAUSE_PAST_EXPIRY_MS },
	{ .renewed = true,
	  .paused_ms = PAUSE_WITHIN_LEASE_MS,
	  .key_exists = true,
	  .lease_exists = true },
	{ .renewed = true,
	  .renewal_answer_lost = true,
	  .paused_ms = PAUSE_WITHIN_LEASE_MS,
	  .key_exists = true,
	  .lease_exists = true },
	{ .renewed = true, .paused_ms = PAUSE_PAST_EXPIRY_MS },
	{ .rewritten = true,
	  .paused_ms = PAUSE_PAST_EXPIRY_MS,
	  .key_exists = true },
	{ .revoked = true },
};

/* Moves the clock of the stand-in, by which leases expire, forward. */
static void advance_clock(struct store_subject *subject, uint64_t ms)
{
	pthread_mutex_lock(&subject->standin.lock);
	subject->standin.clock_ahead_ms += ms;
	pthread_mutex_unlock(&subject->standin.lock);
}

static void act_on_lease(struct store_subject *subject,
			 const struct lease_case *lease_case)
{
	subject->standin.lose_answers = lease_case->renewal_answer_lost;
	if (lease_case->renewed) {
		advance_clock(subject, PAUSE_WITHIN_LEASE_MS);
		ck_assert_int_eq(
			post_status(subject, "lease/keepalive", lease_id),
			lease_case->renewal_answer_lost ? 503 : 200);
	}
	if (lease_case->rewritten)
		ck_assert_int_eq(store_swap(subject->store, "a",
					    store_revision(subject->store, "a"),
					    "2"),
				 CM_OK);
	if (lease_case->revoked)
		ck_assert_int_eq(post_status(subject, "lease/revoke", lease_id),
				 200);
}

/*
 * Checks what the lease holder can do after the pause: renew the lease, grant
 * it again, or overwrite the key, which must fail if the key has expired.
 */
static void check_holder(struct store_subject *subject,
			 const struct lease_case *lease_case, int64_t revision)
{
	json_t *answer;

	ck_assert_int_eq(post(subject, "lease/keepalive", lease_id, &answer),
			 200);
	ck_assert_int_eq(
		!!json_object_get(json_object_get(answer, "result"), "TTL"),
		lease_case->lease_exists);
	json_decref(answer);
	ck_assert_int_eq(post_status(subject, "lease/grant", lease_grant),
			 lease_case->lease_exists ? 400 : 200);
	if (!lease_case->key_exists)
		ck_assert_int_eq(store_swap(subject->store, "a", revision, "2"),
				 CM_E_CONFLICT);
}

UNIT_CASE("store", "leases", NULL, NULL, 0);

TEST_TABLE(key_expires_with_its_lease, lease_cases)
{
	const struct lease_case *lease_case = &lease_cases[_i];
	struct store_subject subject;
	int64_t written, revision;

	store_subject_start_etcd(&subject);
	ck_assert_int_eq(post_status(&subject, "kv/txn", lease_put), 404);
	ck_assert_int_eq(post_status(&subject, "lease/revoke", lease_id), 404);
	ck_assert_int_eq(post_status(&subject, "lease/grant", lease_grant),
			 200);
	ck_assert_int_eq(post_status(&subject, "kv/txn", lease_put), 200);
	ck_assert_int_eq(store_swap(subject.store, "b", 0, "1"), CM_OK);
	written = store_revision(subject.store, "a");
	act_on_lease(&subject, lease_case);
	revision = store_revision(subject.store,
				  lease_case->key_exists ? "a" : "b");
	advance_clock(&subject, lease_case->paused_ms);
	ck_assert_int_eq(subject.store->ops->wait(
				 subject.store, "a", "b", revision + 1,
				 lease_case->key_exists ? STORE_WAIT_MS :
							  EXPIRY_WAIT_MS),
			 lease_case->key_exists ? CM_E_TIMEOUT : CM_OK);
	ck_assert_int_eq(store_revision(subject.store, "a") > 0,
			 lease_case->key_exists);
	ck_assert_int_gt(store_revision(subject.store, "b"), 0);
	check_holder(&subject, lease_case, written);
	store_subject_stop_etcd(&subject);
}
