import * as csp from 'js-csp'

import type { Channel } from 'js-csp'

/** A channel that closes after a delay, unless the timer is stopped first. */
export interface Timer {
  channel: Channel<never>
  stop (): void
}

/**
 * Opens a channel that closes after `delayMs`. Unlike `csp.timeout` it can be stopped and does not keep
 * the process alive.
 */
export function openTimer (delayMs: number): Timer {
  const channel = csp.chan<never>()
  const timer = setTimeout(() => channel.close(), delayMs)
  timer.unref()
  return { channel, stop: () => clearTimeout(timer) }
}

/** Turns a promise into a channel that carries its value once; a rejection closes the channel without a value. */
export function toChannel<T> (promise: Promise<T>): Channel<T> {
  const channel = csp.chan<T>(1)
  promise.then(value => csp.putAsync(channel, value), () => channel.close())
  return channel
}

/** Waits for the next value of `channel`; returns null once the channel is closed. */
export async function receiveValue<T> (channel: Channel<T>): Promise<T | null> {
  return await new Promise(resolve => csp.takeAsync(channel, resolve))
}

/** Waits for `delayMs`, or until `signal` fires. */
export async function waitFor (delayMs: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted) return
  await new Promise<void>(resolve => {
    const finish = () => {
      clearTimeout(timer)
      signal?.removeEventListener('abort', finish)
      resolve()
    }
    const timer = setTimeout(finish, delayMs)
    signal?.addEventListener('abort', finish, { once: true })
  })
}
