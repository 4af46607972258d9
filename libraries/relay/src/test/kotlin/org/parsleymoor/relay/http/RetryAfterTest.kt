package org.parsleymoor.relay.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class RetryAfterTest {
    @Test
    fun `seconds are read with and without a fraction`() {
        val read = listOf("0", "2", " 1.25 ", "0.0004", "10").map { parseRetryAfter(it, 10_000) }
        expectThat(read).isEqualTo(listOf(Ok(0L), Ok(2_000L), Ok(1_250L), Ok(0L), Ok(10_000L)))
    }

    // Otherwise a date, or what a number parser accepts besides digits, is taken for a time.
    @Test
    fun `what is not a number of seconds is a failure that names it`() {
        listOf("", "-1", "+1", "1.", ".5", "1,5", "1e3", "0x1p3", "NaN", "Infinity", "1f", "soon", "1 2").forEach {
            expectThat(parseRetryAfter(it, 10_000)).isEqualTo(Err(RetryAfterFailure.Unreadable(it)))
        }
    }

    @Test
    fun `a time over the limit is a failure, however many digits it has`() {
        expectThat(parseRetryAfter("10.001", 10_000)).isEqualTo(Err(RetryAfterFailure.TooLong("10.001", 10_000)))
        val failure = parseRetryAfter("9".repeat(5_000), 10_000).getError()
        expectThat(failure).isA<RetryAfterFailure.TooLong>().get { value.length }.isLessThan(100)
    }
}
