/**
 * DOC: Loads of backend servers, at the source of a failure domain
 *
 * Each instance reports to the source (see feed_choice.h) the load that its own
 * flows put on each server. The source keeps the reports by instance and sends
 * each instance the sums over all others. The loads of an instance expire when
 * it has sent no report for CM_LOAD_REPORT_TTL_MS, and are removed when it is
 * no longer a member. Memory is allocated only where reports arrive.
 */
#ifndef CHERVILMAST_LOAD_TABLE_H
#define CHERVILMAST_LOAD_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "chervilmast/note.h"
#include "chervilmast/server_load.h"

/** Time without a report after which the loads of an instance expire, ms. */
#define CM_LOAD_REPORT_TTL_MS 5000
/** Maximum number of instances; reports of further ones are ignored. */
#define CM_LOAD_TABLE_INSTANCES_MAX 1024
/** Maximum number of servers; loads of further ones are ignored. */
#define CM_LOAD_TABLE_SERVERS_MAX 4096
/** Number of hash buckets of servers; a power of two. */
#define CM_LOAD_TABLE_BUCKETS 1024

/**
 * struct cm_load_report - a report of an instance
 * @name: name of the instance
 * @epoch: differs between series of reports; a new series replaces the loads
 * @is_complete: with this report, all loads of the instance are reported
 * @loads: the loads that have changed, and some others in turn
 */
struct cm_load_report {
	const char *name;
	uint32_t epoch;
	bool is_complete;
	const struct cm_load_list *loads;
};

/**
 * struct cm_load_instance - an instance that reports loads
 * @name: name of the instance
 * @epoch: series of the last report
 * @is_complete: all loads of the series were reported
 * @reported_ms: time of its last report, ms
 * @answered_ms: when sums were last sent to it, ms; 0 for never
 * @next_server: index of the server at which the next sums begin
 * @loads: its load at each server of the table, thousandths of a slot
 * @capacity: allocated length of @loads
 */
struct cm_load_instance {
	char name[CM_NAME_SIZE];
	uint32_t epoch;
	bool is_complete;
	uint64_t reported_ms;
	uint64_t answered_ms;
	uint32_t next_server;
	uint16_t *loads;
	uint32_t capacity;
};

/**
 * struct cm_load_server - a server with reported load
 * @token: token of the server
 * @sum: sum of the loads of all instances, thousandths of a slot
 * @reported_ms: time of the last report about it, ms
 * @next: index of the next server in its bucket plus 1; 0 for none
 */
struct cm_load_server {
	uint32_t token;
	uint32_t sum;
	uint64_t reported_ms;
	uint32_t next;
};

/**
 * struct cm_load_table - the reported loads; empty when zeroed
 * @instances: the instances
 * @instance_count: number of @instances
 * @instance_capacity: allocated length of @instances
 * @servers: the servers
 * @server_count: number of @servers
 * @server_capacity: allocated length of @servers
 * @next_reused: index at which the search for a server to be replaced begins
 * @buckets: index of the first server of each bucket plus 1; 0 for none
 */
struct cm_load_table {
	struct cm_load_instance *instances;
	uint32_t instance_count;
	uint32_t instance_capacity;
	struct cm_load_server *servers;
	uint32_t server_count;
	uint32_t server_capacity;
	uint32_t next_reused;
	uint32_t buckets[CM_LOAD_TABLE_BUCKETS];
};

/**
 * cm_load_table_finish() - free all reports
 * @table: the table; empty afterwards
 */
void cm_load_table_finish(struct cm_load_table *table);

/**
 * cm_load_table_report() - record a report of an instance
 * @table: the table
 * @now_ms: current time, ms
 * @report: the report
 *
 * Return: 0, CM_E_MEMORY, or CM_E_TOO_LARGE when there is no room for the
 * instance or for one of the servers; the loads after that server are then not
 * recorded.
 */
int cm_load_table_report(struct cm_load_table *table, uint64_t now_ms,
			 const struct cm_load_report *report);

/**
 * cm_load_table_remove() - remove the loads of an instance
 * @table: the table
 * @name: name of the instance
 */
void cm_load_table_remove(struct cm_load_table *table, const char *name);

/**
 * cm_load_table_expire() - remove the loads of instances that stopped reporting
 * @table: the table
 * @now_ms: current time, ms
 *
 * Return: number of instances that were removed.
 */
uint32_t cm_load_table_expire(struct cm_load_table *table, uint64_t now_ms);

/**
 * cm_load_table_sum() - sum the loads of all instances but one
 * @table: the table
 * @now_ms: current time, ms
 * @except: name of the instance whose loads are left out
 * @members: number of instances in the failure domain
 * @sums: set to the sums of up to CM_LOAD_LIST_MAX servers, in turn, but no
 *        more than CM_LOADS_PER_S a second; empty when @except has not reported
 *        or too few others have reported all of their loads
 *
 * Return: age of the sums, ms: the time since the last report of another
 * instance; 0 when no sums were made.
 */
uint64_t cm_load_table_sum(struct cm_load_table *table, uint64_t now_ms,
			   const char *except, uint32_t members,
			   struct cm_load_list *sums);

#endif
