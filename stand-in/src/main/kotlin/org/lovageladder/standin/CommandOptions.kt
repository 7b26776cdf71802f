package org.lovageladder.standin

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo

internal fun CliktCommand.positiveIntOption(name: String, help: String, default: Int) =
    option(name, help = help).int().restrictTo(min = 1).default(default)

internal fun CliktCommand.nonNegativeIntOption(name: String, help: String, default: Int) =
    option(name, help = help).int().restrictTo(min = 0).default(default)

internal fun CliktCommand.positiveLongOption(name: String, help: String, default: Long) =
    option(name, help = help).long().restrictTo(min = 1).default(default)

internal fun CliktCommand.millisecondsOption(name: String, help: String, default: Long) =
    option(name, help = help).long().restrictTo(min = 0).default(default)
