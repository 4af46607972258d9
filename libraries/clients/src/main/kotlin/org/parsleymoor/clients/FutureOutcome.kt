package org.parsleymoor.clients

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.vertx.core.Future
import io.vertx.core.VertxException
import io.vertx.kotlin.coroutines.coAwait
import java.io.IOException

/** Suspends until the future completes; a connection error becomes the [failure] made from its text. */
internal suspend fun <T> Future<T>.awaitOr(failure: (String) -> BackEndFailure): Result<T, BackEndFailure> = try {
    Ok(coAwait())
} catch (cause: IOException) {
    Err(failure(cause.toString()))
} catch (cause: VertxException) {
    Err(failure(cause.toString()))
}
