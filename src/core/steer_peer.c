#include "chervilmast/steer_peer.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "chervilmast/steer_server.h"

void cm_steer_peers_init(struct cm_steer_peers *peers)
{
	memset(peers, 0, sizeof(*peers));
	TAILQ_INIT(&peers->all);
}

void cm_steer_peers_finish(struct cm_steer_peers *peers)
{
	struct cm_steer_peer *peer = TAILQ_FIRST(&peers->all);

	while (peer) {
		struct cm_steer_peer *next = TAILQ_NEXT(peer, link);

		free(peer);
		peer = next;
	}
	cm_steer_peers_init(peers);
}

struct cm_steer_peer *cm_steer_peers_find(const struct cm_steer_peers *peers,
					  const char *name)
{
	struct cm_steer_peer *peer;

	TAILQ_FOREACH (peer, &peers->all, link)
		if (!strcmp(peer->entry.name, name))
			return peer;
	return NULL;
}

/* Does nothing for hash 0, which a new peer has until its entry is set. */
static void adjust_domain_instances(struct cm_steer_peers *peers,
				    uint64_t domain_hash, int change)
{
	struct cm_steer_domain *domain =
		domain_hash ? cm_steer_domains_find_or_add(&peers->domains,
							   domain_hash) :
			      NULL;

	if (domain)
		domain->instances += (uint32_t)change;
}

int cm_steer_peers_put(struct cm_steer_peers *peers,
		       const struct cm_peer_entry *entry)
{
	struct cm_steer_peer *peer = cm_steer_peers_find(peers, entry->name);

	if (!peer) {
		if (peers->count == CM_STEER_PEERS_MAX)
			return CM_E_TOO_LARGE;
		peer = calloc(1, sizeof(*peer));
		if (!peer)
			return CM_E_MEMORY;
		TAILQ_INSERT_TAIL(&peers->all, peer, link);
		peers->count++;
	}
	adjust_domain_instances(peers, peer->domain_hash, -1);
	peer->entry = *entry;
	peer->domain_hash = cm_steer_name_hash(entry->domain);
	adjust_domain_instances(peers, peer->domain_hash, 1);
	return CM_OK;
}

void cm_steer_peers_remove(struct cm_steer_peers *peers,
			   struct cm_steer_peer *peer)
{
	adjust_domain_instances(peers, peer->domain_hash, -1);
	TAILQ_REMOVE(&peers->all, peer, link);
	peers->count--;
	free(peer);
}

uint32_t cm_steer_peers_count_in_domain(const struct cm_steer_peers *peers,
					const char *domain)
{
	const struct cm_steer_peer *peer;
	uint32_t count = 0;

	TAILQ_FOREACH (peer, &peers->all, link)
		count += !strcmp(peer->entry.domain, domain);
	return count;
}
