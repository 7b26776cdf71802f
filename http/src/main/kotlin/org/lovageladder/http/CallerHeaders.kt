package org.lovageladder.http

/** Names the request class; the service's default applies without it. */
internal const val CLASS_HEADER: String = "Lovageladder-Class"

/** Names the service of a generation; the body's `model` does without it. */
internal const val SERVICE_HEADER: String = "Lovageladder-Service"

/** Tells the caller the identifier of its request. */
internal const val REQUEST_HEADER: String = "Lovageladder-Request"

/** Names an action, so that a repeated submission is recognised. */
internal const val KEY_HEADER: String = "Idempotency-Key"
