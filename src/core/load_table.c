#include "chervilmast/load_table.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"

/** Initial capacity of an array; doubled when it is full. */
#define INITIAL_CAPACITY 64
/** Servers that are examined to find one that can be replaced. */
#define REUSE_PROBES 64
/**
 * Share of the other members that must have reported all of their loads before
 * sums are sent: three of four. The loads that are missing of a new source
 * would make some servers look free.
 */
#define COVERAGE_NUMERATOR 3
#define COVERAGE_DENOMINATOR 4

static struct cm_load_instance *find_instance(const struct cm_load_table *table,
					      const char *name)
{
	for (uint32_t i = 0; i < table->instance_count; i++)
		if (!strcmp(table->instances[i].name, name))
			return &table->instances[i];
	return NULL;
}

static uint32_t load_at(const struct cm_load_instance *instance, uint32_t index)
{
	return index < instance->capacity ? instance->loads[index] : 0;
}

static void subtract_all(struct cm_load_table *table,
			 struct cm_load_instance *instance)
{
	for (uint32_t i = 0; i < instance->capacity; i++) {
		if (instance->loads[i])
			table->servers[i].sum -= instance->loads[i];
		instance->loads[i] = 0;
	}
}

static void remove_instance(struct cm_load_table *table,
			    struct cm_load_instance *instance)
{
	struct cm_load_instance *last =
		&table->instances[--table->instance_count];

	subtract_all(table, instance);
	free(instance->loads);
	*instance = *last;
	last->loads = NULL;
	last->capacity = 0;
}

void cm_load_table_finish(struct cm_load_table *table)
{
	for (uint32_t i = 0; i < table->instance_count; i++)
		free(table->instances[i].loads);
	free(table->instances);
	free(table->servers);
	memset(table, 0, sizeof(*table));
}

/*
 * Extends an array to at least @wanted elements of @size bytes; new ones are
 * zeroed. @items points to the pointer to the array.
 */
static int reserve(void *items, uint32_t *capacity, uint32_t wanted,
		   size_t size)
{
	void **array = items;
	uint32_t larger = *capacity ? *capacity : INITIAL_CAPACITY;
	void *resized;

	if (wanted <= *capacity)
		return CM_OK;
	while (larger < wanted)
		larger *= 2;
	resized = realloc(*array, larger * size);
	if (!resized)
		return CM_E_MEMORY;
	memset((char *)resized + *capacity * size, 0,
	       (larger - *capacity) * size);
	*array = resized;
	*capacity = larger;
	return CM_OK;
}

static int find_or_add_instance(struct cm_load_table *table, const char *name,
				struct cm_load_instance **instance)
{
	int error;

	*instance = find_instance(table, name);
	if (*instance)
		return CM_OK;
	if (table->instance_count == CM_LOAD_TABLE_INSTANCES_MAX)
		return CM_E_TOO_LARGE;
	error = reserve(&table->instances, &table->instance_capacity,
			table->instance_count + 1, sizeof(*table->instances));
	if (error)
		return error;
	*instance = &table->instances[table->instance_count++];
	memset(*instance, 0, sizeof(**instance));
	strncpy((*instance)->name, name, CM_NAME_SIZE - 1);
	return CM_OK;
}

static uint32_t *bucket_of(struct cm_load_table *table, uint32_t token)
{
	return &table->buckets[token % CM_LOAD_TABLE_BUCKETS];
}

static void unlink_server(struct cm_load_table *table, uint32_t index)
{
	uint32_t *link = bucket_of(table, table->servers[index].token);

	while (*link != index + 1)
		link = &table->servers[*link - 1].next;
	*link = table->servers[index].next;
}

/*
 * Finds a server without load to be replaced; the loads of all instances at its
 * index are 0. Examines only some, to bound the time of a report.
 *
 * Return: its index, or @server_count when none was found.
 */
static uint32_t reusable_server(struct cm_load_table *table)
{
	for (uint32_t i = 0; i < REUSE_PROBES; i++) {
		uint32_t index = table->next_reused++ % table->server_count;

		if (table->servers[index].sum)
			continue;
		unlink_server(table, index);
		return index;
	}
	return table->server_count;
}

/* Return: index of the server, or CM_LOAD_TABLE_SERVERS_MAX without room. */
static uint32_t find_or_add_server(struct cm_load_table *table, uint32_t token)
{
	uint32_t *bucket = bucket_of(table, token);
	uint32_t index;

	for (uint32_t next = *bucket; next;
	     next = table->servers[next - 1].next)
		if (table->servers[next - 1].token == token)
			return next - 1;
	index = table->server_count;
	if (index == CM_LOAD_TABLE_SERVERS_MAX)
		index = reusable_server(table);
	else if (!reserve(&table->servers, &table->server_capacity, index + 1,
			  sizeof(*table->servers)))
		table->server_count++;
	else
		return CM_LOAD_TABLE_SERVERS_MAX;
	if (index == CM_LOAD_TABLE_SERVERS_MAX)
		return index;
	table->servers[index] =
		(struct cm_load_server){ .token = token, .next = *bucket };
	*bucket = index + 1;
	return index;
}

static int set_load(struct cm_load_table *table, uint64_t now_ms,
		    struct cm_load_instance *instance, uint32_t token,
		    uint32_t load)
{
	uint16_t limited = load < UINT16_MAX ? (uint16_t)load : UINT16_MAX;
	uint32_t index = find_or_add_server(table, token);
	int error;

	if (index == CM_LOAD_TABLE_SERVERS_MAX)
		return CM_E_TOO_LARGE;
	error = reserve(&instance->loads, &instance->capacity, index + 1,
			sizeof(*instance->loads));
	if (error)
		return error;
	table->servers[index].sum -= instance->loads[index];
	table->servers[index].sum += limited;
	table->servers[index].reported_ms = now_ms;
	instance->loads[index] = limited;
	return CM_OK;
}

int cm_load_table_report(struct cm_load_table *table, uint64_t now_ms,
			 const struct cm_load_report *report)
{
	struct cm_load_instance *instance;
	int error = find_or_add_instance(table, report->name, &instance);

	if (error)
		return error;
	if (instance->epoch != report->epoch) {
		subtract_all(table, instance);
		instance->is_complete = false;
	}
	instance->epoch = report->epoch;
	instance->reported_ms = now_ms;
	instance->is_complete |= report->is_complete;
	for (uint32_t i = 0; i < report->loads->count && !error; i++)
		error = set_load(table, now_ms, instance,
				 report->loads->tokens[i],
				 report->loads->loads[i]);
	return error;
}

void cm_load_table_remove(struct cm_load_table *table, const char *name)
{
	struct cm_load_instance *instance = find_instance(table, name);

	if (instance)
		remove_instance(table, instance);
}

uint32_t cm_load_table_expire(struct cm_load_table *table, uint64_t now_ms)
{
	uint32_t before = table->instance_count;
	uint32_t i = 0;

	while (i < table->instance_count) {
		struct cm_load_instance *instance = &table->instances[i];

		if (now_ms >= instance->reported_ms + CM_LOAD_REPORT_TTL_MS)
			remove_instance(table, instance);
		else
			i++;
	}
	return before - table->instance_count;
}

static bool is_covered(const struct cm_load_table *table,
		       const struct cm_load_instance *except, uint32_t members)
{
	uint32_t complete = 0;

	for (uint32_t i = 0; i < table->instance_count; i++)
		if (&table->instances[i] != except)
			complete += table->instances[i].is_complete;
	return members > 1 && complete * COVERAGE_DENOMINATOR >=
				      (members - 1) * COVERAGE_NUMERATOR;
}

static uint64_t last_report_ms(const struct cm_load_table *table,
			       const struct cm_load_instance *except)
{
	uint64_t last_ms = 0;

	for (uint32_t i = 0; i < table->instance_count; i++)
		if (&table->instances[i] != except &&
		    table->instances[i].reported_ms > last_ms)
			last_ms = table->instances[i].reported_ms;
	return last_ms;
}

uint64_t cm_load_table_sum(struct cm_load_table *table, uint64_t now_ms,
			   const char *except, uint32_t members,
			   struct cm_load_list *sums)
{
	struct cm_load_instance *instance = find_instance(table, except);
	uint32_t room, i;

	sums->count = 0;
	if (!instance || !is_covered(table, instance, members))
		return 0;
	room = cm_load_list_room(now_ms - instance->answered_ms);
	instance->answered_ms = now_ms;
	for (i = 0; i < table->server_count && sums->count < room; i++) {
		uint32_t index =
			(instance->next_server + i) % table->server_count;
		const struct cm_load_server *server = &table->servers[index];

		if (!server->sum &&
		    now_ms >= server->reported_ms + CM_LOAD_REPORT_TTL_MS)
			continue;
		sums->tokens[sums->count] = server->token;
		sums->loads[sums->count++] =
			server->sum - load_at(instance, index);
	}
	if (table->server_count)
		instance->next_server =
			(instance->next_server + i) % table->server_count;
	return now_ms - last_report_ms(table, instance);
}
