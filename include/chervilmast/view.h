/**
 * DOC: View
 *
 * The state by which an instance routes packets: the catalog in force, the
 * history of its candidate sets, the members, and the home of each backend
 * server, which is computed from catalog and members as described in
 * chervilmast/homes.h. For a release note or a snapshot a new view is built;
 * cm_view_set_members() changes a view in place.
 */
#ifndef CHERVILMAST_VIEW_H
#define CHERVILMAST_VIEW_H

#include "chervilmast/history.h"
#include "chervilmast/homes.h"
#include "chervilmast/member_index.h"

/** Maximum number of candidate servers considered for one flow. */
#define CM_CANDIDATES_MAX 8

/**
 * struct cm_view - routing state of an instance
 * @catalog: the catalog in force; owned
 * @history: candidate sets of earlier catalogs; owned
 * @members: all known instances; owned
 * @member_count: number of @members
 * @member_index: index of @members by data address; owned
 * @self: index of this instance in @members, or CM_NONE
 * @homes: home of each server in @catalog, in the same order; owned
 */
struct cm_view {
	struct cm_catalog catalog;
	struct cm_history history;
	struct cm_member *members;
	uint32_t member_count;
	struct cm_member_index member_index;
	uint32_t self;
	struct cm_home *homes;
};

/**
 * struct cm_candidates - ordered candidates of a flow
 * @servers: indices of backend servers in the catalog, highest rendezvous score
 *          first
 * @count: number of elements of @servers that are set
 * @directory_index: index into @servers of the first server that has a home;
 *                   this home is the directory of the flow. Equal to @count if
 *                   no server has one.
 */
struct cm_candidates {
	uint32_t servers[CM_CANDIDATES_MAX];
	uint32_t count;
	uint32_t directory_index;
};

/**
 * cm_view_init() - initialize an empty view
 * @view: uninitialized memory, owned by the calling function
 */
void cm_view_init(struct cm_view *view);

/**
 * cm_view_finish() - free the catalog, history, members and homes of a view
 * @view: the view; the struct itself is not freed
 */
void cm_view_finish(struct cm_view *view);

/**
 * cm_view_set_members() - replace the members and recompute the homes
 * @view: the view
 * @members: the members; copied
 * @count: number of @members
 * @self: data address of this instance
 *
 * Return: 0 or CM_E_MEMORY; on failure the view is unchanged.
 */
int cm_view_set_members(struct cm_view *view, const struct cm_member *members,
			uint32_t count, const struct cm_endpoint *self);

/**
 * cm_view_apply_note() - build a new view by applying a release note
 * @next: uninitialized memory, owned by the calling function; set on success
 * @view: the current view; unchanged
 * @note: the release note
 *
 * Return: 0, an error of cm_catalog_apply(), or CM_E_MEMORY.
 */
int cm_view_apply_note(struct cm_view *next, const struct cm_view *view,
		       const struct cm_note *note);

/**
 * cm_view_apply_snapshot() - build a new view from a snapshot
 * @next: uninitialized memory, owned by the calling function; set on success
 * @view: the current view; unchanged
 * @catalog: the catalog of the snapshot; moved into @next and emptied on
 *           success
 * @history: the history of the snapshot; moved into @next and emptied on
 *           success
 *
 * Return: 0, CM_E_STALE if the snapshot is not newer than @view, or
 * CM_E_MEMORY.
 */
int cm_view_apply_snapshot(struct cm_view *next, const struct cm_view *view,
			   struct cm_catalog *catalog,
			   struct cm_history *history);

/**
 * cm_view_candidates() - compute the candidates of a flow
 * @view: the view
 * @service: index of the flow's service
 * @flow: hash of the flow's key
 * @candidates: set to the candidates
 */
void cm_view_candidates(const struct cm_view *view, uint32_t service,
			uint64_t flow, struct cm_candidates *candidates);

/**
 * cm_view_directory() - find the directory of a flow
 * @view: the view
 * @candidates: candidates of the flow
 *
 * The directory is the instance to which the other instances relay packets of
 * a flow for which they have no binding.
 *
 * Return: index of the member, or CM_NONE if no candidate has a home.
 */
uint32_t cm_view_directory(const struct cm_view *view,
			   const struct cm_candidates *candidates);

#endif
