import http from 'node:http'

import { Result } from 'true-myth'
import * as z from 'zod'

import { resetRequest } from '../../base/resetRequest'

import type { Progress } from '../../base/progress'
import type { FencedOrder, OrderError, SendOrder } from '../../store/fencedOrderDispatcher'
import type { EndpointPlacement } from '../../store/orderPlan'

const ORDERS_PATH = '/orders'
const MAX_ANSWER_CHARACTERS = 100_000

const placementSchema = z.object({ state: z.object({ models: z.array(z.string()), role: z.string() }) })
const staleSchema = z.object({ error: z.literal('staleFencingNumber'), current: z.number() })

/**
 * Creates the function that sends orders to the endpoint at `address` by `POST /orders`. The endpoint
 * answers 200 with the placement in force, or 409 when the fencing number is stale.
 */
export function createOrderSender (address: string): SendOrder {
  return async (order, progress) => await sendOrder(address, order, progress)
}

async function sendOrder (address: string, order: FencedOrder, progress: Progress): Promise<Result<EndpointPlacement, OrderError>> {
  const [host, port] = address.split(':')
  const body = JSON.stringify(order)
  return await new Promise(resolve => {
    const finish = (result: Result<EndpointPlacement, OrderError>) => {
      clearTimeout(timer)
      resolve(result)
    }
    let hasConnected = false
    const request = http.request({ host, port: Number(port), method: 'POST', path: ORDERS_PATH, agent: false, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) } })
    const timer = setTimeout(() => resetRequest(request, new Error('the endpoint did not answer the order before the timeout')), progress.getRemainingMs())
    request.on('socket', socket => socket.once('connect', () => { hasConnected = true }))
    request.on('error', error => finish(Result.err({ kind: hasConnected ? 'noAnswer' : 'refused', message: error.message })))
    request.on('response', response => {
      let text = ''
      response.on('data', (bytes: Buffer) => {
        if (text.length < MAX_ANSWER_CHARACTERS) text += bytes.toString('utf8')
      })
      response.on('end', () => finish(parseAnswer(response.statusCode ?? 0, text)))
      response.on('error', error => finish(Result.err({ kind: 'noAnswer', message: error.message })))
    })
    request.end(body)
  })
}

function parseAnswer (status: number, text: string): Result<EndpointPlacement, OrderError> {
  const value = parseJson(text)
  const placement = placementSchema.safeParse(value)
  if (status === 200 && placement.success) return Result.ok(placement.data.state)
  const stale = staleSchema.safeParse(value)
  if (status === 409 && stale.success) return Result.err({ kind: 'staleFencingNumber', current: stale.data.current })
  return Result.err({ kind: 'refused', message: `the endpoint answered ${status}` })
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return null
  }
}
