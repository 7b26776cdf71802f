package org.lovageladder.http

internal const val JSON_TYPE: String = "application/json"
internal const val PROBLEM_TYPE: String = "application/problem+json"
internal const val EVENT_STREAM_TYPE: String = "text/event-stream"
internal const val TEXT_TYPE: String = "text/plain; charset=utf-8"
