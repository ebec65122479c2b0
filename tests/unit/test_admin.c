#include "unit/suites.h"

#include <curl/curl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <regex.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapters/socket.h"
#include "daemon/admin.h"
#include "daemon/gauge.h"
#include "fake/packet.h"
#include "unit/flows.h"

#define BODY_SIZE 65536
#define URL_SIZE 256
#define TIMEOUT_S 10L
#define IDLE_CLIENTS 8

static struct cm_settings settings;
static struct cm_admin admin;

static void start_admin(struct cm_node *node)
{
	memcpy(settings.name, "a-1", 4);
	memcpy(settings.domain, "a", 2);
	settings.admin.address = INADDR_LOOPBACK;
	settings.admin.port = 0;
	ASSERT_OK(cm_admin_init(&admin, node, &settings));
	ck_assert_uint_ne(cm_admin_port(&admin), 0);
}

static void setup(void)
{
	flows_setup_small();
	start_admin(&cluster->nodes[0]);
}

static void teardown(void)
{
	cm_admin_finish(&admin);
	flows_teardown();
}

/**
 * struct answer - HTTP response of the admin port
 */
struct answer {
	long status;
	char type[64];
	char head[BODY_SIZE];
	char body[BODY_SIZE];
};

static size_t append(char *bytes, size_t size, size_t count, void *user)
{
	char *text = user;
	size_t used = strlen(text);

	ck_assert_uint_lt(used + size * count, BODY_SIZE);
	memcpy(text + used, bytes, size * count);
	text[used + size * count] = '\0';
	return size * count;
}

static void send_request(struct answer *answer, const char *method,
			 const char *path, const char *body)
{
	CURL *curl = curl_easy_init();
	char url[URL_SIZE];
	char *type = NULL;

	memset(answer, 0, sizeof(*answer));
	snprintf(url, sizeof(url), "http://127.0.0.1:%u%s",
		 cm_admin_port(&admin), path);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT, TIMEOUT_S);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	if (!strcmp(method, "HEAD"))
		curl_easy_setopt(curl, CURLOPT_NOBODY, 1L);
	if (body)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, answer->body);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, append);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, answer->head);
	ck_assert_int_eq(curl_easy_perform(curl), CURLE_OK);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &answer->status);
	curl_easy_getinfo(curl, CURLINFO_CONTENT_TYPE, &type);
	if (type)
		snprintf(answer->type, sizeof(answer->type), "%s", type);
	curl_easy_cleanup(curl);
}

#define METRICS_TYPE "text/plain; version=0.0.4; charset=utf-8"

/* Requests and the status, media type and part of the body of the response. */
static const struct request_case {
	const char *method;
	const char *path;
	const char *body;
	long status;
	const char *type;
	const char *body_part;
} request_cases[] = {
	{ "GET", "/metrics", NULL, 200, METRICS_TYPE, "_total 0\n" },
	{ "GET", "/metrics?a=b", NULL, 200, METRICS_TYPE, "_total 0\n" },
	{ "HEAD", "/metrics", NULL, 200, METRICS_TYPE, "" },
	{ "GET", "/healthz", NULL, 200, "text/plain", "ok\n" },
	{ "HEAD", "/healthz", NULL, 200, "text/plain", "" },
	{ "GET", "/status", NULL, 200, "application/json", "\"version\": 1" },
	{ "GET", "/", NULL, 404, "text/plain", "not-found\n" },
	{ "GET", "/metric", NULL, 404, "text/plain", "not-found\n" },
	{ "GET", "/metrics/", NULL, 404, "text/plain", "not-found\n" },
	{ "GET", "//metrics", NULL, 404, "text/plain", "not-found\n" },
	{ "GET", "/METRICS", NULL, 404, "text/plain", "not-found\n" },
	{ "GET", "/../metrics", NULL, 404, "text/plain", "not-found\n" },
	{ "GET", "/%73tatus", NULL, 404, "text/plain", "not-found\n" },
	{ "GET", "/status%00", NULL, 404, "text/plain", "not-found\n" },
	{ "POST", "/none", "x", 404, "text/plain", "not-found\n" },
	{ "POST", "/metrics", "x", 405, "text/plain", "method-not-allowed\n" },
	{ "PUT", "/healthz", "x", 405, "text/plain", "method-not-allowed\n" },
	{ "DELETE", "/status", NULL, 405, "text/plain",
	  "method-not-allowed\n" },
	{ "OPTIONS", "/status", NULL, 405, "text/plain",
	  "method-not-allowed\n" },
	{ "get", "/status", NULL, 501, "text/html", "Not Implemented" },
};

UNIT_CASE("admin", "http", setup, teardown, UNIT_TIMEOUT_S);

TEST_TABLE(request_is_answered, request_cases)
{
	const struct request_case *request = &request_cases[_i];
	static struct answer answer;

	send_request(&answer, request->method, request->path, request->body);
	ck_assert_int_eq(answer.status, request->status);
	ck_assert_str_eq(answer.type, request->type);
	ck_assert_ptr_nonnull(strstr(answer.body, request->body_part));
	if (!*request->body_part)
		ck_assert_str_eq(answer.body, "");
	if (request->status == 405)
		ck_assert_ptr_nonnull(
			strstr(answer.head, "Allow: GET, HEAD\r\n"));
}

static int connect_client(void)
{
	struct cm_endpoint to = { INADDR_LOOPBACK, cm_admin_port(&admin),
				  IPPROTO_TCP };
	struct sockaddr_in address = cm_socket_address(&to);
	struct timeval wait = { .tv_sec = TIMEOUT_S };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	ASSERT_OK(connect(fd, (struct sockaddr *)&address, sizeof(address)));
	return fd;
}

/* Raw requests, most of them malformed, and the start of the response. */
static const struct raw_case {
	const char *bytes;
	const char *answer_start;
} raw_cases[] = {
	{ "garbage\r\n\r\n", "HTTP/1.1 400" },
	{ "GET /metrics HTTP/1.1\r\n\r\n", "HTTP/1.1 400" },
	{ "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
	  "HTTP/1.1 200" },
	{ "GET /healthz HTTP/9.9\r\nHost: a\r\n\r\n", "HTTP/1.1 400" },
	{ "POST /none HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
	  "HTTP/1.1 400" },
};

TEST_TABLE(raw_bytes_are_answered, raw_cases)
{
	const struct raw_case *raw = &raw_cases[_i];
	size_t length = strlen(raw->answer_start);
	char received[16] = "";
	int fd = connect_client();

	ck_assert_int_eq(send(fd, raw->bytes, strlen(raw->bytes), 0),
			 (ssize_t)strlen(raw->bytes));
	ck_assert_int_eq(recv(fd, received, length ? length : 1, MSG_WAITALL),
			 (ssize_t)length);
	ck_assert_str_eq(received, raw->answer_start);
	close(fd);
}

static int clients[IDLE_CLIENTS];

/* Connects clients that send @text and then stay idle. */
static void connect_idle_clients(const char *text)
{
	ssize_t length = (ssize_t)strlen(text);

	for (int i = 0; i < IDLE_CLIENTS; i++) {
		clients[i] = connect_client();
		ck_assert_int_eq(send(clients[i], text, strlen(text), 0),
				 length);
	}
}

static void close_clients(void)
{
	for (int i = 0; i < IDLE_CLIENTS; i++)
		close(clients[i]);
}

/* Connections with an incomplete request must not delay other requests. */
TEST(idle_clients_do_not_block_requests)
{
	static struct answer answer;

	connect_idle_clients("GET /met");
	send_request(&answer, "GET", "/healthz", NULL);
	ck_assert_int_eq(answer.status, 200);
	close_clients();
}

/* Clients that never read the response must not block packet handling. */
TEST(unread_answers_do_not_block_packets)
{
	static const struct cm_endpoint caller = { 0xc6336401, 5000,
						   IPPROTO_UDP };
	static const struct cm_endpoint service = FAKE_SERVICE_UDP;
	uint8_t bytes[FAKE_DATAGRAM_HEADER_SIZE + FAKE_DATAGRAM_PAYLOAD_MAX];
	size_t length =
		fake_datagram_build(bytes, &caller, &service, "a", 1, true);

	connect_idle_clients("GET /status HTTP/1.1\r\nHost: a\r\n\r\n");
	for (int i = 0; i < 1000; i++) {
		fake_cluster_deliver_packet(cluster, 0, bytes, length);
		ck_assert_uint_eq(cluster->output_count, 1);
	}
	close_clients();
}

TEST(node_without_configuration_is_unhealthy)
{
	struct cm_node_config empty = { .half_open_max = 1024 };
	static struct answer answer;
	struct cm_node node;

	cm_admin_finish(&admin);
	ASSERT_OK(cm_node_init(&node, &empty));
	start_admin(&node);
	send_request(&answer, "GET", "/healthz", NULL);
	ck_assert_int_eq(answer.status, 503);
	ck_assert_str_eq(answer.body, "no-configuration\n");
	send_request(&answer, "GET", "/status", NULL);
	ck_assert_int_eq(answer.status, 200);
	cm_admin_finish(&admin);
	cm_node_finish(&node);
	start_admin(&cluster->nodes[0]);
}

/* Each metric must consist of a HELP line, a TYPE line and a value line. */
TEST(metrics_have_the_text_format)
{
	static struct answer answer;
	regex_t metric;
	regmatch_t match;
	char *at = answer.body;
	int count = 0;

	ASSERT_OK(regcomp(&metric,
			  "^# HELP chervilmast_[a-z_]+ [^\\\n]+\n"
			  "# TYPE chervilmast_[a-z_]+ (counter|gauge)\n"
			  "chervilmast_[a-z_]+ [0-9]+\n",
			  REG_EXTENDED));
	send_request(&answer, "GET", "/metrics", NULL);
	while (!regexec(&metric, at, 1, &match, 0)) {
		ck_assert_int_eq(match.rm_so, 0);
		at += match.rm_eo;
		count++;
	}
	ck_assert_str_eq(at, "");
	ck_assert_int_eq(count, CM_COUNTER_COUNT + CM_GAUGE_COUNT);
	regfree(&metric);
}

TEST(gauges_report_the_node_state)
{
	struct cm_gauges gauges;

	fake_cluster_kill(cluster, 1);
	fake_cluster_update_members(cluster);
	fake_cluster_publish_changes(
		cluster, "\"failure_domains\":{\"change\":[{\"name\":"
			 "\"c\",\"state\":\"out\"}]}");
	cm_gauges_read(&gauges, &cluster->nodes[0], 5999);
	ck_assert_uint_eq(gauges.value[CM_G_VERSION], 2);
	ck_assert_uint_eq(gauges.value[CM_G_MEMBERS_ALIVE], 2);
	ck_assert_uint_eq(gauges.value[CM_G_MEMBERS_DEAD], 1);
	ck_assert_uint_eq(gauges.value[CM_G_DOMAINS], 3);
	ck_assert_uint_eq(gauges.value[CM_G_DOMAINS_OUT], 1);
	ck_assert_uint_eq(gauges.value[CM_G_SERVICES], 2);
	ck_assert_uint_eq(gauges.value[CM_G_SERVERS], 12);
	ck_assert_uint_eq(gauges.value[CM_G_HOMES], 4);
	ck_assert_uint_eq(gauges.value[CM_G_FLOWS], 0);
	ck_assert_uint_gt(gauges.value[CM_G_FLOW_BYTES], 0);
	ck_assert_uint_gt(gauges.value[CM_G_RESIDENT_BYTES], 0);
	ck_assert_uint_eq(gauges.value[CM_G_UPTIME_S], 5);
}

TEST(status_lists_members_and_servers)
{
	static struct answer answer;
	json_t *root;

	send_request(&answer, "GET", "/status", NULL);
	root = json_loads(answer.body, 0, NULL);
	ck_assert_ptr_nonnull(root);
	ck_assert_str_eq(json_string_value(json_object_get(root, "name")),
			 "a-1");
	ck_assert_uint_eq(json_array_size(json_object_get(root, "members")), 3);
	ck_assert_uint_eq(
		json_array_size(json_object_get(root, "backend_servers")), 12);
	json_decref(root);
}

TEST(port_in_use_is_an_error)
{
	struct cm_admin second;
	struct cm_settings other = settings;

	other.admin.port = cm_admin_port(&admin);
	ck_assert_int_ne(cm_admin_init(&second, &cluster->nodes[0], &other), 0);
}
