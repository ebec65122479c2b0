#include <string.h>

#include "catalog_build.h"
#include "catalog_internal.h"
#include "chervilmast/error.h"
#include "test_switch.h"

static int reject_entry(struct cm_note_rejected_entry *rejected,
			const char *list, enum cm_change_kind change,
			const char *name, int error)
{
	if (rejected) {
		rejected->list = list;
		rejected->change = change;
		memcpy(rejected->name, name, CM_NAME_SIZE);
	}
	return error;
}

/*
 * Applies the withdrawals of failure domains and services if @withdraw is true,
 * otherwise their additions and updates. Additions and updates are applied
 * before the entries of servers, which may refer to the new items. Withdrawals
 * are applied after them, as an item that a server refers to cannot be
 * withdrawn.
 */
static int apply_domains_and_services(struct cm_build *build,
				      const struct cm_note *note, bool withdraw,
				      struct cm_note_rejected_entry *rejected)
{
	for (size_t i = 0; i < note->domain_count; i++) {
		const struct cm_domain_change *entry = &note->domains[i];
		int error = CM_OK;

		if ((entry->change == CM_CHANGE_WITHDRAW) == withdraw)
			error = cm_build_apply_domain(build, entry);
		if (error)
			return reject_entry(rejected, "failure_domains",
					    entry->change, entry->spec.name,
					    error);
	}
	for (size_t i = 0; i < note->service_count; i++) {
		const struct cm_service_change *entry = &note->services[i];
		int error = CM_OK;

		if ((entry->change == CM_CHANGE_WITHDRAW) == withdraw)
			error = cm_build_apply_service(build, entry);
		if (error)
			return reject_entry(rejected, "services", entry->change,
					    entry->spec.name, error);
	}
	return CM_OK;
}

static int apply_servers(struct cm_build *build, const struct cm_note *note,
			 struct cm_note_rejected_entry *rejected)
{
	for (size_t i = 0; i < note->server_count; i++) {
		const struct cm_server_change *entry = &note->servers[i];
		int error = cm_build_apply_server(build, entry);

		if (error)
			return reject_entry(rejected, "backend_servers",
					    entry->change, entry->spec.name,
					    error);
	}
	return CM_OK;
}

static int build_run(struct cm_build *build, const struct cm_note *note,
		     struct cm_note_rejected_entry *rejected)
{
	int error = cm_build_copy(build, note);

	if (!error)
		error = cm_build_index_names(build, note);
	if (!error)
		error = apply_domains_and_services(build, note, false,
						   rejected);
	if (!error)
		error = apply_servers(build, note, rejected);
	if (!error)
		error = apply_domains_and_services(build, note, true, rejected);
	if (error)
		return error;
	cm_build_link(build);
	return cm_catalog_build_index(build->next);
}

int cm_catalog_apply(struct cm_catalog *next, const struct cm_catalog *base,
		     const struct cm_note *note,
		     struct cm_note_rejected_entry *rejected)
{
	struct cm_catalog built;
	struct cm_build build = {
		.base = base,
		.next = &built,
		.published_at_s = note->published_at_s,
	};
	int error;

	if (rejected)
		memset(rejected, 0, sizeof(*rejected));
	/* CM_E_STALE stands for any version other than the next one. */
	if (note->version > base->version + 1 ||
	    (note->version <= base->version &&
	     !cm_switched_off(CM_SWITCH_HIGHER_VERSION)))
		return CM_E_STALE;
	error = cm_note_check(note, rejected);
	if (error)
		return error;
	error = build_run(&build, note, rejected);
	cm_name_index_finish(&build.service_names);
	cm_name_index_finish(&build.server_names);
	if (error) {
		cm_catalog_finish(&built);
		return error;
	}
	*next = built;
	return CM_OK;
}

int cm_catalog_restore(struct cm_catalog *catalog, const struct cm_note *note)
{
	struct cm_catalog base;

	cm_catalog_init(&base);
	/* Makes @note the next note of the empty base. */
	base.version = note->version - 1;
	return cm_catalog_apply(catalog, &base, note, NULL);
}
