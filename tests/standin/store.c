#include "standin/standin.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/http_client.h"
#include "standin/store_service.h"

#define URL_SIZE 64
#define SET_FAULTS_TIMEOUT_MS 10000

static int load_keys(struct standin_store *store, const char *file)
{
	json_t *root = json_load_file(file, 0, NULL);
	const char *key;
	json_t *value;

	if (!root)
		return -1;
	json_object_foreach (root, key, value) {
		char *text = json_dumps(value, JSON_COMPACT);

		fake_kv_put(&store->kv, key, text, strlen(text));
		free(text);
	}
	json_decref(root);
	return 0;
}

int standin_store(int argc, char **argv)
{
	struct standin_store store;
	sigset_t signals;
	int caught;

	if (argc < 3)
		return 2;
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	standin_store_init(&store);
	store.logs_transactions = true;
	if (load_keys(&store, argv[2]))
		return 2;
	if (standin_store_start(&store, (uint16_t)atoi(argv[1])) < 0)
		return 1;
	sigwait(&signals, &caught);
	standin_store_stop(&store);
	standin_store_finish(&store);
	return 0;
}

int standin_set_faults(int argc, char **argv)
{
	struct cm_http_request request = { .path = "/switch",
					   .timeout_ms =
						   SET_FAULTS_TIMEOUT_MS };
	struct cm_http_answer answer;
	struct cm_http_client client;
	char url[URL_SIZE];
	int error;

	if (argc < 3)
		return 2;
	snprintf(url, sizeof(url), "http://127.0.0.1:%s", argv[1]);
	if (cm_http_client_init(&client, url))
		return 2;
	request.body = argv[2];
	error = cm_http_call(&client, &request, &answer);
	puts(answer.text);
	cm_http_answer_finish(&answer);
	cm_http_client_finish(&client);
	return error ? 1 : 0;
}
