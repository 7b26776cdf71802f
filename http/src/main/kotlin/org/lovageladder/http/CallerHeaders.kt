package org.lovageladder.http

/** Request class of the request. Without it, the service's default class applies. */
internal const val REQUEST_CLASS_HEADER: String = "Lovageladder-Class"

/** Service of a generation. Without it, `model` in the body names the service. */
internal const val SERVICE_HEADER: String = "Lovageladder-Service"

/** Identifier of the request, sent with the answer. */
internal const val REQUEST_ID_HEADER: String = "Lovageladder-Request"

/** Key of the caller's action, by which a repeated submission is recognised. */
internal const val IDEMPOTENCY_KEY_HEADER: String = "Idempotency-Key"
