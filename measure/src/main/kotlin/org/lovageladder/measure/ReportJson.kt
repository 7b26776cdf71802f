package org.lovageladder.measure

import kotlinx.serialization.json.Json

/** JSON format of all reports. */
internal val reportJson = Json { prettyPrint = true }
