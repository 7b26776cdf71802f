package org.lovageladder.measure

import kotlinx.serialization.json.Json

/** JSON of all reports. */
internal val reportJson = Json { prettyPrint = true }
