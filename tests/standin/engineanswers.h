// HTTP handlers for generated answers of an engine: new completions and resumed streams.
#pragma once

namespace magnolia::standin
{

class EngineCore;
class Exchange;

/** Handles `POST /v1/completions`: admits the prompt and sends its answer, as events or as JSON. */
void handleCompletion(Exchange &exchange, EngineCore &core);

/** Handles `GET /v1/streams/<request-id>?from=N`: sends a held stream from token N; 404 if it is not held. */
void handleResume(Exchange &exchange, EngineCore &core);

} // namespace magnolia::standin
