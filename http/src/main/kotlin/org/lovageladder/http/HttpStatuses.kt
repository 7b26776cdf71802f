package org.lovageladder.http

internal const val STATUS_OK: Int = 200
internal const val STATUS_ACCEPTED: Int = 202
internal const val STATUS_BAD_REQUEST: Int = 400
internal const val STATUS_NOT_FOUND: Int = 404
internal const val STATUS_METHOD_NOT_ALLOWED: Int = 405
internal const val STATUS_REQUEST_TIMEOUT: Int = 408
internal const val STATUS_CONFLICT: Int = 409
internal const val STATUS_GONE: Int = 410
internal const val STATUS_CONTENT_TOO_LARGE: Int = 413
internal const val STATUS_URI_TOO_LONG: Int = 414
internal const val STATUS_EXPECTATION_FAILED: Int = 417
internal const val STATUS_HEADERS_TOO_LARGE: Int = 431
internal const val STATUS_INTERNAL_ERROR: Int = 500
internal const val STATUS_BAD_GATEWAY: Int = 502
internal const val STATUS_UNAVAILABLE: Int = 503
internal const val STATUS_GATEWAY_TIMEOUT: Int = 504
