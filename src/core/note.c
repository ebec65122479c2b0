#include "chervilmast/note.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"

void cm_note_init(struct cm_note *note)
{
	memset(note, 0, sizeof(*note));
}

int cm_note_reserve(struct cm_note *note, size_t domains, size_t services,
		    size_t servers)
{
	note->domains = calloc(domains + 1, sizeof(*note->domains));
	note->services = calloc(services + 1, sizeof(*note->services));
	note->servers = calloc(servers + 1, sizeof(*note->servers));
	if (!note->domains || !note->services || !note->servers) {
		cm_note_finish(note);
		return CM_E_MEMORY;
	}
	note->domain_count = domains;
	note->service_count = services;
	note->server_count = servers;
	return CM_OK;
}

void cm_note_finish(struct cm_note *note)
{
	free(note->domains);
	free(note->services);
	free(note->servers);
	cm_note_init(note);
}
