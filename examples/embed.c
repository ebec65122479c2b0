/*
 * Uses the installed library without the daemon: passes a SYN to a node with
 * one service in one failure domain and prints the resulting actions.
 *
 *	cc embed.c $(pkg-config --cflags --libs chervilmast) -o embed
 */
#include <chervilmast/error.h>
#include <chervilmast/node.h>
#include <chervilmast/version.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#define NOW_MS 1000000
#define HALF_OPEN_MAX 1024

static const struct cm_endpoint self = { 0x7f000002, 6081, IPPROTO_UDP };
static const struct cm_endpoint service = { 0xcb00710a, 443, IPPROTO_TCP };
static const struct cm_endpoint server = { 0xc000020a, 8443, IPPROTO_TCP };

/* IPv4 packet with a SYN from 198.51.100.1, port 5000, to the service. */
static uint8_t syn[] = {
	0x45, 0x00, 0x00, 0x28, 0x00, 0x00, 0x00, 0x00, 0x40, 0x06,
	0x14, 0x91, 0xc6, 0x33, 0x64, 0x01, 0xcb, 0x00, 0x71, 0x0a,
	0x13, 0x88, 0x01, 0xbb, 0x00, 0x00, 0x00, 0x01, 0x00, 0x00,
	0x00, 0x00, 0x50, 0x02, 0xff, 0xff, 0x34, 0x5f, 0x00, 0x00,
};

static int apply_note(struct cm_node *node)
{
	struct cm_server_spec *spec;
	struct cm_note note;
	int error;

	cm_note_init(&note);
	error = cm_note_reserve(&note, 1, 1, 1);
	if (error)
		return error;
	note.version = 1;
	note.published_at_s = 1;
	strcpy(note.domains[0].spec.name, "a");
	strcpy(note.services[0].spec.name, "ledger");
	note.services[0].spec.address = service;
	note.services[0].spec.idle_timeout_s = 900;
	spec = &note.servers[0].spec;
	strcpy(spec->name, "ledger-1");
	strcpy(spec->service, "ledger");
	strcpy(spec->domain, "a");
	spec->address = server;
	spec->slots = 1;
	spec->max_connections = 100;
	spec->max_new_per_s = 100;
	error = cm_node_apply_note(node, NOW_MS, &note);
	cm_note_finish(&note);
	return error;
}

static int set_members(struct cm_node *node)
{
	struct cm_member member = {
		.name = "a-1",
		.domain = "a",
		.data_address = self,
		.control_address = { 0x7f000002, 7081, IPPROTO_TCP },
		.incarnation = 1,
	};

	return cm_node_set_members(node, &member, 1);
}

static void print_actions(const struct cm_actions *actions)
{
	static const char *const kinds[] = {
		[CM_ACTION_TO_SERVER] = "to backend server",
		[CM_ACTION_TO_CALLER] = "to caller",
		[CM_ACTION_RELAY] = "to another instance",
		[CM_ACTION_SEND_BINDING] = "binding to another instance",
	};

	for (size_t i = 0; i < actions->count; i++) {
		const struct cm_action *action = &actions->items[i];
		uint32_t address = action->server.address;

		printf("%s %u.%u.%u.%u:%u\n", kinds[action->kind],
		       address >> 24, address >> 16 & 0xff, address >> 8 & 0xff,
		       address & 0xff, action->server.port);
	}
}

static int process_syn(struct cm_node *node)
{
	struct cm_actions actions;
	struct cm_packet packet;
	int error = cm_packet_parse(&packet, syn, sizeof(syn));

	if (error)
		return error;
	cm_actions_init(&actions);
	cm_node_packet(node, NOW_MS, &packet, NULL, &actions);
	print_actions(&actions);
	cm_actions_finish(&actions);
	return CM_OK;
}

/* Reports that the server can take half of the load that the note allows. */
static int report_server(struct cm_node *node)
{
	struct cm_server_report report = { .server = server,
					   .percent = 50,
					   .made_ms = NOW_MS };

	return cm_node_apply_server_report(node, NOW_MS, &report);
}

int main(void)
{
	struct cm_node_config config = { .self = self,
					 .half_open_max = HALF_OPEN_MAX };
	struct cm_node node;
	int error = cm_node_init(&node, &config);

	if (!error)
		error = set_members(&node);
	if (!error)
		error = apply_note(&node);
	if (!error)
		error = report_server(&node);
	if (!error)
		error = process_syn(&node);
	cm_node_finish(&node);
	printf("chervilmast %s: %s\n", CM_VERSION, cm_error_name(error));
	return error ? 1 : 0;
}
