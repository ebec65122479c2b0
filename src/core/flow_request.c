#include "chervilmast/flow_request.h"

#include "chervilmast/server_health.h"

bool cm_flow_request_acknowledge(struct cm_flow_request *request, uint32_t ack)
{
	enum cm_request_state state = request->state;

	if (state != CM_REQUEST_WAITING && state != CM_REQUEST_SHORT)
		return false;
	if ((int32_t)(ack - request->last_ack) <= 0)
		return false;
	request->last_ack = ack;
	request->state = cm_server_health_is_failure(ack - request->first_ack) ?
				 CM_REQUEST_SHORT :
				 CM_REQUEST_ANSWERED;
	return request->state != state;
}

bool cm_flow_request_end(struct cm_flow_request *request)
{
	if (request->state != CM_REQUEST_SHORT)
		return false;
	request->state = CM_REQUEST_REJECTED;
	return true;
}

bool cm_flow_request_is_next(const struct cm_flow_request *request,
			     uint32_t ack)
{
	if (request->state == CM_REQUEST_NONE)
		return true;
	return request->state != CM_REQUEST_WAITING &&
	       (int32_t)(ack - request->last_ack) >= 0;
}

void cm_flow_request_begin(struct cm_flow_request *request, uint64_t active_ms,
			   uint32_t ack)
{
	request->state = CM_REQUEST_WAITING;
	request->count++;
	request->began_ms = active_ms;
	request->first_ack = ack;
	request->last_ack = ack;
	request->deferred_ms = 0;
}
