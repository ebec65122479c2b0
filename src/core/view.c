#include "chervilmast/view.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "chervilmast/rendezvous.h"
#include "test_switch.h"

void cm_view_init(struct cm_view *view)
{
	memset(view, 0, sizeof(*view));
	cm_catalog_init(&view->catalog);
	cm_history_init(&view->history);
	view->self = CM_NONE;
}

void cm_view_finish(struct cm_view *view)
{
	cm_catalog_finish(&view->catalog);
	cm_history_finish(&view->history);
	free(view->members);
	cm_member_index_finish(&view->member_index);
	free(view->homes);
	cm_view_init(view);
}

static int copy_members(struct cm_member **copy,
			const struct cm_member *members, uint32_t count)
{
	*copy = calloc(count + 1, sizeof(**copy));
	if (!*copy)
		return CM_E_MEMORY;
	if (count)
		memcpy(*copy, members, count * sizeof(**copy));
	return CM_OK;
}

int cm_view_set_members(struct cm_view *view, const struct cm_member *members,
			uint32_t count, const struct cm_endpoint *self)
{
	struct cm_member_index index;
	struct cm_member *copy;
	struct cm_home *homes;
	int error = copy_members(&copy, members, count);

	if (error)
		return error;
	error = cm_member_index_init(&index, copy, count);
	if (!error)
		error = cm_homes_compute(&homes, &view->catalog, copy, count);
	if (error) {
		cm_member_index_finish(&index);
		free(copy);
		return error;
	}
	free(view->members);
	cm_member_index_finish(&view->member_index);
	free(view->homes);
	view->members = copy;
	view->member_count = count;
	view->member_index = index;
	view->homes = homes;
	view->self = cm_member_index_find(&index, copy, self);
	return CM_OK;
}

/* Copies the members of @view to @next and computes homes for its catalog. */
static int view_copy_members(struct cm_view *next, const struct cm_view *view)
{
	int error =
		copy_members(&next->members, view->members, view->member_count);

	if (!error)
		error = cm_member_index_init(&next->member_index, next->members,
					     view->member_count);
	if (!error)
		error = cm_homes_compute(&next->homes, &next->catalog,
					 next->members, view->member_count);
	next->member_count = view->member_count;
	next->self = view->self;
	return error;
}

int cm_view_apply_note(struct cm_view *next, const struct cm_view *view,
		       const struct cm_note *note)
{
	int error;

	cm_view_init(next);
	error = cm_catalog_apply(&next->catalog, &view->catalog, note, NULL);
	if (error)
		return error;
	error = cm_history_advance(&next->history, &view->history,
				   &view->catalog, &next->catalog);
	if (!error)
		error = view_copy_members(next, view);
	if (error)
		cm_view_finish(next);
	return error;
}

int cm_view_apply_snapshot(struct cm_view *next, const struct cm_view *view,
			   struct cm_catalog *catalog,
			   struct cm_history *history)
{
	int error;

	if (catalog->version <= view->catalog.version &&
	    !cm_switched_off(CM_SWITCH_HIGHER_VERSION))
		return CM_E_STALE;
	cm_view_init(next);
	next->catalog = *catalog;
	next->history = *history;
	error = view_copy_members(next, view);
	if (error) {
		free(next->members);
		cm_member_index_finish(&next->member_index);
		free(next->homes);
		return error;
	}
	cm_catalog_init(catalog);
	cm_history_init(history);
	return CM_OK;
}

static void candidates_insert(struct cm_candidates *candidates,
			      uint64_t *scores, uint32_t server, uint64_t score)
{
	uint32_t position = candidates->count;

	if (position == CM_CANDIDATES_MAX) {
		if (score <= scores[position - 1])
			return;
		position--;
	} else {
		candidates->count++;
	}
	while (position > 0 && scores[position - 1] < score) {
		scores[position] = scores[position - 1];
		candidates->servers[position] =
			candidates->servers[position - 1];
		position--;
	}
	scores[position] = score;
	candidates->servers[position] = server;
}

void cm_view_candidates(const struct cm_view *view, uint32_t service,
			uint64_t flow, struct cm_candidates *candidates)
{
	const struct cm_service *from = &view->catalog.services[service];
	const struct cm_candidate *candidate =
		&view->catalog.candidates[from->first_candidate];
	uint64_t scores[CM_CANDIDATES_MAX];

	candidates->count = 0;
	for (uint32_t i = 0; i < from->candidate_count; i++, candidate++)
		candidates_insert(candidates, scores, candidate->server,
				  cm_rendezvous_score(flow, candidate->hash,
						      candidate->scale));
	candidates->directory_index = 0;
	while (candidates->directory_index < candidates->count &&
	       view->homes[candidates->servers[candidates->directory_index]]
			       .member == CM_NONE)
		candidates->directory_index++;
}

uint32_t cm_view_directory(const struct cm_view *view,
			   const struct cm_candidates *candidates)
{
	if (candidates->directory_index == candidates->count)
		return CM_NONE;
	return view->homes[candidates->servers[candidates->directory_index]]
		.member;
}
