package org.parsleymoor.relay.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** Parses the seconds in a `Retry-After` field, which may have a fraction; returns milliseconds. */
public fun parseRetryAfter(value: String, limitMillis: Long): Result<Long, RetryAfterFailure> {
    val shown = value.take(MAX_SHOWN)
    val millis = value.trim().takeIf { SECONDS.matches(it) }?.toDouble()?.times(MILLIS_PER_SECOND)
    return when {
        millis == null -> Err(RetryAfterFailure.Unreadable(shown))
        millis > limitMillis -> Err(RetryAfterFailure.TooLong(shown, limitMillis))
        else -> Ok(millis.toLong())
    }
}

private val SECONDS = Regex("[0-9]+([.][0-9]+)?")
private const val MILLIS_PER_SECOND = 1_000.0
private const val MAX_SHOWN = 64
