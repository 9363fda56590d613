/** Types for the part of `js-csp` 1.0 that this project uses; the package ships none. */
declare module 'js-csp' {
  /** A channel of values; `null` is reserved and means that the channel is closed. */
  export interface Channel<T> {
    close (): void
    isClosed (): boolean
    readonly __value?: T
  }

  export interface AltsResult<T = unknown> {
    channel: Channel<T>
    value: T
  }

  /** An instruction to be yielded inside a process started by `go`. */
  export interface Instruction<T> { readonly __result?: T }

  export type Process<R> = Generator<unknown, R, any>

  export const CLOSED: null
  export const DEFAULT: unique symbol

  export function chan<T> (bufferOrSize?: number | object): Channel<T>
  export function timeout (milliseconds: number): Channel<never>
  export function go<A extends unknown[], R> (process: (...args: A) => Process<R>, args?: A): Channel<R>
  export function spawn<R> (process: Process<R>): Channel<R>
  export function take<T> (channel: Channel<T>): Instruction<T | null>
  export function put<T> (channel: Channel<T>, value: T): Instruction<boolean>
  export function alts (operations: Array<Channel<any> | [Channel<any>, unknown]>, options?: { priority?: boolean, default?: unknown }): Instruction<AltsResult>
  export function putAsync<T> (channel: Channel<T>, value: T, callback?: (accepted: boolean) => void): void
  export function takeAsync<T> (channel: Channel<T>, callback?: (value: T | null) => void): void
  export function offer<T> (channel: Channel<T>, value: T): boolean
  export function poll<T> (channel: Channel<T>): T | symbol
  export const buffers: {
    fixed (size: number): object
    dropping (size: number): object
    sliding (size: number): object
  }
}
