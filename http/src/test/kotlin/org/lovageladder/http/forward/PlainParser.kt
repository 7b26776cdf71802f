package org.lovageladder.http.forward

import org.lovageladder.core.Moment
import org.lovageladder.core.RequestId
import org.lovageladder.core.forward.ForwardRequest
import kotlin.time.Duration.Companion.seconds

/** Takes the identifier of a request from its header `Id`; one without it is malformed. */
internal object PlainParser : CallerRequestParser {
    override fun parse(received: UnparsedRequest): ForwardRequest? {
        val id = received.fields.firstOrNull { it.name == "Id" }?.value ?: return null
        return ForwardRequest(
            id = RequestId(id),
            method = received.method,
            target = received.target,
            host = received.host,
            headers = received.fields,
            body = received.body,
            arrivedAt = Moment(0),
            callerTimeout = 1.seconds,
            generation = null,
            resumeAfterEventId = null,
            connection = received.connection,
        )
    }
}
