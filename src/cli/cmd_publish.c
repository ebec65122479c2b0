#include "command.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/random.h>

#include "adapters/etcd_store.h"
#include "chervilmast/error.h"
#include "config/note_json.h"
#include "config/publication.h"
#include "config/settings.h"
#include "fleet.h"
#include "ports/clock.h"

#define MS_PER_S 1000
#define TIMEOUT_S_DEFAULT 30
#define TIMEOUT_S_MAX 3600
/*
 * Maximum wait for the first status answer in cm_fleet_discover(), and for all
 * answers of one batch of instances in cm_fleet_query_status().
 */
#define STATUS_TIMEOUT_MS 500
/*
 * Longest wait until one instance reports that the pushed note is in force.
 * Short, as instances to which the note was not pushed read it from the store.
 */
#define PUSH_TIMEOUT_MS 300
#define STATUS_RETRY_DELAY_MS 100

static int exit_code_of(int error)
{
	switch (error) {
	case CM_OK:
		return CM_EXIT_OK;
	case CM_E_CONFLICT:
		return CM_EXIT_CONFLICT;
	case CM_E_UNAVAILABLE:
	case CM_E_TIMEOUT:
	case CM_E_OUTCOME_UNKNOWN:
		return CM_EXIT_UNAVAILABLE;
	case CM_E_MEMORY:
	case CM_E_PROTOCOL:
	case CM_E_CONTRADICTION:
	case CM_E_IO:
		return CM_EXIT_FAILED;
	default:
		return CM_EXIT_BAD_INPUT;
	}
}

/**
 * struct publish_job - one run of the publish command
 * @settings: settings that name the store and some instances
 * @file: path of the note
 * @note: the note
 * @wait_for_instances: whether to wait until the note is in force on every live
 *                      instance
 * @timeout_s: longest duration of that wait, seconds
 * @fleet: the instances
 */
struct publish_job {
	struct cm_settings settings;
	const char *file;
	struct cm_note note;
	bool wait_for_instances;
	uint32_t timeout_s;
	struct cm_fleet fleet;
};

static void report_publication(FILE *stream, const struct cm_note *note)
{
	char id[CM_PUBLICATION_ID_TEXT_SIZE];

	cm_publication_id_write(note->publication_id, id);
	fprintf(stream, "version=%llu publication_id=%s\n",
		(unsigned long long)note->version, id);
	/* Flushed so that it is printed even if the wait is interrupted. */
	fflush(stream);
}

static int publish_note(struct publish_job *job, struct cm_store *store)
{
	struct cm_note_rejected_entry rejected = { .list = NULL };
	struct cm_timer timer;
	struct cm_publication publication = {
		.store = store,
		.prefix = job->settings.store_prefix,
		.timer = &timer,
	};
	uint8_t *id = job->note.publication_id;
	int error;

	cm_timer_init_system(&timer);
	if (getrandom(id, CM_PUBLICATION_ID_SIZE, 0) != CM_PUBLICATION_ID_SIZE)
		return CM_E_IO;
	error = cm_publication_publish(&publication, &job->note,
				       cm_clock_wall_s(), &rejected);
	if (error)
		cm_report_note_error(job->file, &rejected, error);
	else
		report_publication(stdout, &job->note);
	/* Operators need the id to find out whether the note was accepted. */
	if (error == CM_E_OUTCOME_UNKNOWN)
		report_publication(stderr, &job->note);
	return error;
}

static void push_note(struct publish_job *job)
{
	char *text = cm_note_write_published(&job->note);

	if (text)
		cm_fleet_push_note(&job->fleet, text, job->note.version,
				   PUSH_TIMEOUT_MS);
	free(text);
}

static uint32_t count_pending(const struct publish_job *job)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < job->fleet.count; i++) {
		const struct cm_fleet_instance *instance =
			&job->fleet.instances[i];

		count += !instance->is_dead &&
			 !cm_fleet_instance_has_version(instance,
							job->note.version);
	}
	return count;
}

static void report_pending(const struct publish_job *job)
{
	for (uint32_t i = 0; i < job->fleet.count; i++) {
		const struct cm_fleet_instance *instance =
			&job->fleet.instances[i];

		if (instance->is_dead ||
		    cm_fleet_instance_has_version(instance, job->note.version))
			continue;
		if (instance->has_answered)
			fprintf(stderr, "%s: not in force: version=%llu\n",
				instance->member.name,
				(unsigned long long)
					instance->answer.status.version);
		else
			fprintf(stderr, "%s: not in force: no-answer\n",
				instance->member.name);
	}
}

static uint32_t count_live(const struct publish_job *job)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < job->fleet.count; i++)
		count += !job->fleet.instances[i].is_dead;
	return count;
}

static int wait_until_in_force(struct publish_job *job)
{
	uint64_t deadline_ms =
		cm_clock_ms() + (uint64_t)job->timeout_s * MS_PER_S;
	uint32_t pending;

	cm_fleet_query_status(&job->fleet, job->note.version,
			      STATUS_TIMEOUT_MS);
	pending = count_pending(job);
	while (pending && cm_clock_ms() < deadline_ms) {
		cm_clock_sleep_ms(STATUS_RETRY_DELAY_MS);
		cm_fleet_query_status(&job->fleet, job->note.version,
				      STATUS_TIMEOUT_MS);
		pending = count_pending(job);
	}
	if (pending) {
		report_pending(job);
		return CM_EXIT_NOT_IN_FORCE;
	}
	printf("in_force=%u\n", count_live(job));
	return CM_EXIT_OK;
}

static int publish_and_wait(struct publish_job *job, struct cm_store *store)
{
	/*
	 * The instances are listed before the note is published, as the store
	 * may become unavailable after it has accepted the note.
	 */
	int discovery_error = cm_fleet_discover(
		&job->fleet, store, &job->settings, STATUS_TIMEOUT_MS);
	int error = publish_note(job, store);

	if (error)
		return exit_code_of(error);
	if (!discovery_error)
		push_note(job);
	if (!job->wait_for_instances)
		return CM_EXIT_OK;
	if (discovery_error) {
		cm_report_error("publish: cannot list the instances",
				discovery_error);
		return CM_EXIT_NOT_IN_FORCE;
	}
	return wait_until_in_force(job);
}

static int connect_and_publish(struct publish_job *job)
{
	struct cm_etcd_store store;
	int exit_code;
	int error = cm_etcd_store_init(&store, job->settings.store_url,
				       job->settings.store_timeout_ms);

	if (error) {
		cm_report_error("publish", error);
		return exit_code_of(error);
	}
	error = cm_fleet_init(&job->fleet);
	if (error) {
		cm_report_error("publish", error);
		exit_code = exit_code_of(error);
	} else {
		exit_code = publish_and_wait(job, &store.base);
		cm_fleet_finish(&job->fleet);
	}
	cm_etcd_store_finish(&store);
	return exit_code;
}

static int publish_file(struct publish_job *job, const char *settings_file)
{
	struct cm_json_error json_error;
	int exit_code;

	if (cm_settings_read_file(&job->settings, settings_file, &json_error)) {
		cm_report_json_error(settings_file, &json_error);
		return CM_EXIT_BAD_INPUT;
	}
	cm_note_init(&job->note);
	if (cm_note_read_file(&job->note, job->file, &json_error)) {
		cm_report_json_error(job->file, &json_error);
		return CM_EXIT_BAD_INPUT;
	}
	exit_code = connect_and_publish(job);
	cm_note_finish(&job->note);
	return exit_code;
}

static bool read_timeout(struct publish_job *job, const struct arg_int *timeout)
{
	int value = timeout->count ? timeout->ival[0] : TIMEOUT_S_DEFAULT;

	job->timeout_s = (uint32_t)value;
	if (value >= 1 && value <= TIMEOUT_S_MAX)
		return true;
	fprintf(stderr, "publish: --timeout-s: %s (allowed 1 to %d)\n",
		cm_error_name(CM_E_OUT_OF_RANGE), TIMEOUT_S_MAX);
	return false;
}

static int run(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_file *settings =
		arg_file1(NULL, "settings", "FILE",
			  "settings file with the URL of the store");
	struct arg_lit *wait = arg_lit0(
		NULL, "wait",
		"wait until the note is in force on every live instance");
	struct arg_int *timeout =
		arg_int0(NULL, "timeout-s", "N",
			 "longest --wait in seconds, 30 by default");
	struct arg_file *note =
		arg_file1(NULL, NULL, "NOTE", "release note to publish");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, settings, wait, timeout, note, end };
	static struct publish_job job;
	int exit_code;

	if (cm_command_parse(&cm_command_publish, argc, argv, table,
			     &exit_code)) {
		job.file = note->filename[0];
		job.wait_for_instances = wait->count > 0;
		exit_code = read_timeout(&job, timeout) ?
				    publish_file(&job, settings->filename[0]) :
				    CM_EXIT_USAGE;
	}
	arg_freetable(table, sizeof(table) / sizeof(*table));
	return exit_code;
}

const struct cm_command cm_command_publish = {
	.name = "publish",
	.summary = "publish a release note to the store",
	.run = run,
};
