#include "http_client.h"

#include <ck_pr.h>
#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"

#define URL_SIZE 512
/* Values hold up to a megabyte; an answer may hold several. */
#define ANSWER_MAX (16 * 1024 * 1024)
#define JSON_HEADER "Content-Type: application/json"
#define NO_EXPECT_HEADER "Expect:"

/**
 * struct transfer - a request in progress
 * @client: who sent it
 * @request: the request
 * @text: body of the answer as it comes in
 * @ended: the request's function ended it
 */
struct transfer {
	struct cm_http_client *client;
	const struct cm_http_request *request;
	GString *text;
	bool ended;
};

static size_t take_bytes(char *bytes, size_t size, size_t count, void *user)
{
	struct transfer *transfer = user;
	const struct cm_http_request *request = transfer->request;

	if (transfer->text->len + size * count > ANSWER_MAX)
		return 0;
	g_string_append_len(transfer->text, bytes, (gssize)(size * count));
	if (request->more && !request->more(request->user, transfer->text->str,
					    transfer->text->len))
		transfer->ended = true;
	return transfer->ended ? 0 : size * count;
}

/* Ends a transfer, above all a waiting watch, when the process stops. */
static int check_interrupt(void *user, curl_off_t to_get, curl_off_t got,
			   curl_off_t to_send, curl_off_t sent)
{
	const struct transfer *transfer = user;

	(void)to_get;
	(void)got;
	(void)to_send;
	(void)sent;
	return (int)ck_pr_load_32(&transfer->client->interrupted);
}

static int curl_error(CURLcode code)
{
	switch (code) {
	case CURLE_OK:
		return CM_OK;
	case CURLE_OPERATION_TIMEDOUT:
		return CM_E_TIMEOUT;
	case CURLE_OUT_OF_MEMORY:
		return CM_E_MEMORY;
	case CURLE_WRITE_ERROR:
		return CM_E_TOO_LARGE;
	default:
		return CM_E_UNAVAILABLE;
	}
}

static void set_request(CURL *curl, const struct cm_http_client *client,
			const struct cm_http_request *request)
{
	char url[URL_SIZE];

	snprintf(url, sizeof(url), "%s%s", client->url, request->path);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	if (request->body) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request->body);
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
				 (long)strlen(request->body));
	} else {
		curl_easy_setopt(curl, CURLOPT_HTTPGET, 1L);
	}
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER,
			 request->body ? client->headers : NULL);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
}

static int perform(struct cm_http_client *client,
		   const struct cm_http_request *request,
		   struct transfer *transfer, long *status)
{
	CURLcode code;

	if (ck_pr_load_32(&client->interrupted))
		return CM_E_UNAVAILABLE;
	set_request(client->curl, client, request);
	curl_easy_setopt(client->curl, CURLOPT_XFERINFODATA, transfer);
	curl_easy_setopt(client->curl, CURLOPT_WRITEDATA, transfer);
	ck_pr_inc_64(&client->calls);
	code = curl_easy_perform(client->curl);
	if (transfer->ended)
		return CM_E_INTERRUPTED;
	if (code != CURLE_OK)
		return curl_error(code);
	curl_easy_getinfo(client->curl, CURLINFO_RESPONSE_CODE, status);
	return CM_OK;
}

int cm_http_call(struct cm_http_client *client,
		 const struct cm_http_request *request,
		 struct cm_http_answer *answer)
{
	struct transfer transfer = {
		.client = client,
		.request = request,
		.text = g_string_new(NULL),
	};
	long status = 0;
	int error = perform(client, request, &transfer, &status);

	answer->status = (unsigned int)status;
	answer->length = transfer.text->len;
	answer->text = g_string_free(transfer.text, FALSE);
	return error;
}

void cm_http_answer_finish(struct cm_http_answer *answer)
{
	g_free(answer->text);
	answer->text = NULL;
	answer->length = 0;
}

static void set_constant_options(CURL *curl)
{
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, check_interrupt);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, take_bytes);
}

int cm_http_client_init(struct cm_http_client *client, const char *url)
{
	struct curl_slist *headers;

	memset(client, 0, sizeof(*client));
	headers = curl_slist_append(NULL, JSON_HEADER);
	if (headers)
		client->headers = curl_slist_append(headers, NO_EXPECT_HEADER);
	client->curl = curl_easy_init();
	client->url = strdup(url);
	if (!client->curl || !client->url || !client->headers) {
		cm_http_client_finish(client);
		return CM_E_MEMORY;
	}
	set_constant_options(client->curl);
	return CM_OK;
}

void cm_http_interrupt(struct cm_http_client *client)
{
	ck_pr_store_32(&client->interrupted, 1);
}

uint64_t cm_http_calls(const struct cm_http_client *client)
{
	return ck_pr_load_64(&client->calls);
}

void cm_http_client_finish(struct cm_http_client *client)
{
	if (client->curl)
		curl_easy_cleanup(client->curl);
	curl_slist_free_all(client->headers);
	free(client->url);
	memset(client, 0, sizeof(*client));
}
