import { createServer } from 'node:net'

import type { Server } from 'node:net'

/** The range lies below the ephemeral ports: an outgoing connection could occupy a free ephemeral port at any time. */
const FIRST_PORT = 12_000
const LAST_PORT = 30_000
/** Lets processes that search at the same time start at different ports. */
const PORT_OFFSET_PER_PROCESS = 97

let nextOffset = process.pid * PORT_OFFSET_PER_PROCESS

/** Finds free loopback ports that stay free until something listens on them. */
export async function findFreePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  while (ports.length < count) {
    const port = FIRST_PORT + nextOffset % (LAST_PORT - FIRST_PORT)
    nextOffset += 1
    if (await isFree(port)) ports.push(port)
  }
  return ports
}

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  const isListening = await new Promise<boolean>(resolve => {
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => resolve(true))
  })
  if (isListening) await closeServer(server)
  return isListening
}

async function closeServer (server: Server): Promise<void> {
  await new Promise(resolve => server.close(resolve))
}
