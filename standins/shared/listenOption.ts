import type { ListenOptions } from './httpServer'

/** Parses `host:port` as `--listen` takes it. */
export function parseListen (text: string): ListenOptions {
  const [host, port] = text.split(':')
  if (host === undefined || !/^\d+$/.test(port ?? '')) throw new Error(`--listen wants HOST:PORT, got '${text}'`)
  return { host, port: Number(port) }
}

/** Logs, as one JSON line, where a stand-in listens. */
export function reportListening (name: string, address: string): void {
  process.stdout.write(`${JSON.stringify({ name, listening: address })}\n`)
}
