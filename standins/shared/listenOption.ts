import type { ListenOptions } from './httpServer'

/** Parses the `HOST:PORT` value of `--listen`. */
export function parseListen (text: string): ListenOptions {
  const [host, port] = text.split(':')
  if (host === undefined || !/^\d+$/.test(port ?? '')) throw new Error(`--listen must be HOST:PORT, got '${text}'`)
  return { host, port: Number(port) }
}

/** Prints the address on which a stand-in listens as one JSON line. */
export function reportListening (name: string, address: string): void {
  process.stdout.write(`${JSON.stringify({ name, listening: address })}\n`)
}
