#include "instance_json.h"

#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>

#include "chervilmast/error.h"
#include "endpoint_fields.h"
#include "json_reader.h"

#define KEY_SIZE 192

/* Indexed by enum cm_member_state. */
static const char *const instance_states[] = { "live", "leaving", NULL };

static const struct cm_json_field instance_fields[] = {
	{ .key = "name",
	  .type = CM_JSON_NAME,
	  .offset = offsetof(struct cm_member, name) },
	{ .key = "failure_domain",
	  .type = CM_JSON_NAME,
	  .offset = offsetof(struct cm_member, domain) },
	{ .key = "address",
	  .type = CM_JSON_ADDRESS,
	  .offset = offsetof(struct cm_member, data_address.address) },
	{ .key = "data_port",
	  .type = CM_JSON_U16,
	  .offset = offsetof(struct cm_member, data_address.port),
	  .minimum = 1,
	  .maximum = CM_PORT_MAX },
	{ .key = "control_port",
	  .type = CM_JSON_U16,
	  .offset = offsetof(struct cm_member, control_address.port),
	  .minimum = 1,
	  .maximum = CM_PORT_MAX },
	{ .key = "state",
	  .type = CM_JSON_CHOICE,
	  .offset = offsetof(struct cm_member, state),
	  .choices = instance_states },
	{ .key = NULL },
};

static int read_instance(struct cm_member *member,
			 const struct cm_store_item *item)
{
	struct cm_json_node root = { .parent = NULL };
	struct cm_json_error json_error;
	int error = cm_json_load_bytes(item->value, item->size, &root.value,
				       &json_error);

	if (error)
		return error;
	error = cm_json_read_fields(&root, instance_fields, member, false, NULL,
				    &json_error);
	json_decref(root.value);
	member->data_address.protocol = IPPROTO_UDP;
	member->control_address.address = member->data_address.address;
	member->control_address.protocol = IPPROTO_TCP;
	return error;
}

int cm_instances_read(struct cm_store *store, const char *prefix,
		      struct cm_member **members, uint32_t *count)
{
	char first[KEY_SIZE], end[KEY_SIZE];
	struct cm_store_items items;
	int error;

	snprintf(first, sizeof(first), "%sinstances/", prefix);
	/* Exclusive end of the range: '0' is the character after '/'. */
	snprintf(end, sizeof(end), "%sinstances0", prefix);
	error = store->ops->range(store, first, end, &items);
	if (error)
		return error;
	*count = 0;
	*members = calloc(items.count + 1, sizeof(**members));
	for (size_t i = 0; *members && i < items.count; i++)
		if (!read_instance(&(*members)[*count], &items.items[i]))
			(*count)++;
	cm_store_items_finish(&items);
	return *members ? CM_OK : CM_E_MEMORY;
}
