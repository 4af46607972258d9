package org.parsleymoor.relay.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** Parses the decimal number of requests a second that an endpoint takes, from the [values] of the fields naming it. */
public fun parseRequestLimit(values: List<String>): Result<Double, RequestLimitFailure> {
    val (readable, unreadable) = values.map { it.trim() }.partition { DECIMAL.matches(it) }
    val limits = readable.map { it.toDouble().coerceAtMost(MAX_PER_SECOND) }.distinct()
    return when {
        unreadable.isNotEmpty() || limits.isEmpty() ->
            Err(RequestLimitFailure.Unreadable(unreadable.firstOrNull().orEmpty().take(MAX_SHOWN)))
        limits.size > 1 -> Err(RequestLimitFailure.Contradictory(limits))
        else -> Ok(limits.first())
    }
}

private val DECIMAL = Regex("[0-9]+([.][0-9]+)?")

// More than all instances together can send.
private const val MAX_PER_SECOND = 1e6
private const val MAX_SHOWN = 64
