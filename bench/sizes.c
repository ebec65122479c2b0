#include "bench.h"

#include <malloc.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chervilmast/node.h"

#define DOMAINS 6
#define SERVERS_PER_SERVICE 3
#define REPEATS 5
#define LOOKUPS 200000
#define FLOWS 100000
#define NS_PER_MS 1e6

/**
 * struct size - a size of the deployment
 * @servers: number of backend servers
 * @members: number of entry instances
 */
struct size {
	uint32_t servers;
	uint32_t members;
};

static const struct size sizes[] = { { 70, 9 }, { 700, 90 }, { 7000, 840 } };

static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static void fill_note(struct cm_note *note, uint32_t servers)
{
	uint32_t services = servers / SERVERS_PER_SERVICE;

	cm_note_init(note);
	if (cm_note_reserve(note, DOMAINS, services, servers))
		abort();
	note->version = 1;
	note->published_at_s = 1000;
	for (uint32_t i = 0; i < DOMAINS; i++)
		snprintf(note->domains[i].spec.name, CM_NAME_SIZE, "d%u", i);
	for (uint32_t i = 0; i < services; i++) {
		struct cm_service_spec *spec = &note->services[i].spec;

		snprintf(spec->name, CM_NAME_SIZE, "v%u", i);
		spec->address =
			(struct cm_endpoint){ 0xcb000000 + i, 80, IPPROTO_TCP };
		spec->idle_timeout_s = 600;
	}
	for (uint32_t i = 0; i < servers; i++) {
		struct cm_server_spec *spec = &note->servers[i].spec;

		snprintf(spec->name, CM_NAME_SIZE, "s%u", i);
		snprintf(spec->service, CM_NAME_SIZE, "v%u", i % services);
		snprintf(spec->domain, CM_NAME_SIZE, "d%u", i % DOMAINS);
		spec->address =
			(struct cm_endpoint){ 0xc0000000 + i, 80, IPPROTO_TCP };
		spec->slots = 3;
		spec->max_connections = 2000;
		spec->max_new_per_s = 100;
	}
}

static void fill_change(struct cm_note *note, uint64_t version)
{
	cm_note_init(note);
	if (cm_note_reserve(note, 0, 0, 1))
		abort();
	note->version = version;
	note->published_at_s = 1000 + version;
	note->servers[0].change = CM_CHANGE_UPDATE;
	note->servers[0].fields = CM_FIELD_SLOTS;
	note->servers[0].spec.slots = 1 + (uint32_t)version % 8;
	snprintf(note->servers[0].spec.name, CM_NAME_SIZE, "s5");
}

static struct cm_member *make_members(uint32_t count)
{
	struct cm_member *members = calloc(count + 1, sizeof(*members));

	if (!members)
		abort();
	for (uint32_t i = 0; i < count; i++) {
		snprintf(members[i].name, CM_NAME_SIZE, "m%u", i);
		snprintf(members[i].domain, CM_NAME_SIZE, "d%u", i % DOMAINS);
		members[i].data_address =
			(struct cm_endpoint){ 0x0a000000 + i, 6081,
					      IPPROTO_UDP };
	}
	return members;
}

static double apply_changes_ms(struct cm_node *node)
{
	uint64_t begin_ns = bench_now_ns();

	for (uint32_t i = 0; i < REPEATS; i++) {
		struct cm_note change;

		fill_change(&change, i + 2);
		if (cm_node_apply_note(node, 1000 + i, &change))
			abort();
		cm_note_finish(&change);
	}
	return (double)(bench_now_ns() - begin_ns) / REPEATS / NS_PER_MS;
}

static double set_members_ms(struct cm_node *node,
			     const struct cm_member *members, uint32_t count)
{
	uint64_t begin_ns = bench_now_ns();

	for (uint32_t i = 0; i < REPEATS; i++)
		if (cm_node_set_members(node, members, count))
			abort();
	return (double)(bench_now_ns() - begin_ns) / REPEATS / NS_PER_MS;
}

static double rank_ns(const struct cm_node *node)
{
	uint32_t services = node->view.catalog.service_count;
	struct cm_candidates candidates;
	uint64_t begin_ns = bench_now_ns();

	for (uint32_t i = 0; i < LOOKUPS; i++)
		cm_view_candidates(&node->view, i % services,
				   cm_hash_mix(i, services), &candidates);
	return (double)(bench_now_ns() - begin_ns) / LOOKUPS;
}

static json_t *measure_size(const struct size *size)
{
	struct cm_member *members = make_members(size->members);
	struct cm_node_config config = {
		.self = members[0].data_address,
		.half_open_max = 65536,
	};
	size_t before = heap_bytes();
	struct cm_note note;
	struct cm_node node;
	uint64_t begin_ns;
	double first_ms, members_ms, change_ms;
	json_t *figures;

	fill_note(&note, size->servers);
	if (cm_node_init(&node, &config))
		abort();
	begin_ns = bench_now_ns();
	if (cm_node_apply_note(&node, 1000, &note))
		abort();
	first_ms = (double)(bench_now_ns() - begin_ns) / NS_PER_MS;
	cm_note_finish(&note);
	members_ms = set_members_ms(&node, members, size->members);
	change_ms = apply_changes_ms(&node);
	figures = json_pack("{s:i, s:i, s:f, s:f, s:f, s:f, s:f}", "servers",
			    (int)size->servers, "instances", (int)size->members,
			    "first_note_ms", first_ms, "members_changed_ms",
			    members_ms, "one_server_changed_ms", change_ms,
			    "rank_3_candidates_ns", rank_ns(&node),
			    "node_bytes", (double)(heap_bytes() - before));
	cm_node_finish(&node);
	free(members);
	return figures;
}

static double bytes_per_flow(void)
{
	struct cm_flow_table table;
	size_t before = heap_bytes();
	size_t used;

	if (cm_flow_table_init(&table))
		abort();
	for (uint32_t i = 0; i < FLOWS; i++) {
		struct cm_flow_key key = {
			{ 0xc6000000 + i, 1024, IPPROTO_TCP },
			{ 0xcb000000, 80, IPPROTO_TCP },
		};
		uint64_t hash = cm_flow_key_hash(&key);

		cm_flow_shard_add(cm_flow_table_shard(&table, hash), &key, hash,
				  CM_FLOW_OPEN, 1000);
	}
	used = heap_bytes() - before;
	cm_flow_table_finish(&table);
	return (double)used / FLOWS;
}

void bench_sizes(json_t *report)
{
	json_t *slopes = json_array();

	for (size_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++)
		json_array_append_new(slopes, measure_size(&sizes[i]));
	json_object_set_new(report, "slopes", slopes);
	bench_add_figure(report, "bytes_per_flow", bytes_per_flow());
}
