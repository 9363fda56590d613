// Clients of the gateways.
import http from 'node:http'
import { randomBytes } from 'node:crypto'

import { record } from './fleet.mjs'

/** Sends one client attempt on a new channel and reads its answer to the end. Never rejects. */
export async function sendAttempt (port, { id = randomBytes(8).toString('hex'), method = 'POST', path, host, key, timeLimitMs, headers = {}, body = Buffer.alloc(0), handleBytes = () => {}, agent = false, isRecorded = true }) {
  return await new Promise(resolve => {
    const chunks = []
    let status = null
    let answerHeaders = {}
    const timer = setTimeout(() => finish('timeLimit'), timeLimitMs)
    const finish = end => {
      clearTimeout(timer)
      if (isRecorded) record('client', `attempt ${id}: ${end}, status ${status}, ${Buffer.concat(chunks).length} bytes`)
      request.destroy()
      resolve({ id, end, status, headers: answerHeaders, body: Buffer.concat(chunks) })
    }
    const request = http.request({ host: '127.0.0.1', port, method, path, agent, headers: { Host: host, 'Tanagerwick-Request-Attempt-Id': id, 'Tanagerwick-Request-Deadline-Ms': String(Math.round(timeLimitMs)), ...(key === undefined ? {} : { 'Api-Key': key }), 'content-length': body.length, ...headers } }, response => {
      status = response.statusCode
      answerHeaders = response.headers
      response.on('data', bytes => {
        chunks.push(bytes)
        handleBytes(bytes)
      })
      response.on('end', () => finish(response.complete ? 'whole' : 'cut'))
      response.on('error', () => finish('cut'))
    })
    request.on('error', error => finish(status === null ? `no answer (${error.code ?? error.message})` : 'cut'))
    if (isRecorded) record('client', `attempt ${id}: ${method} ${path} to port ${port}${headers['Last-Event-Id'] === undefined ? '' : `, after event ${headers['Last-Event-Id']} of ${headers.Resumes}`}`)
    request.end(body)
  })
}

/** Reads the complete events of a stream's bytes: id and data. */
export function readEvents (body) {
  return body.toString('utf8').split('\n\n').slice(0, -1).map(text => ({ id: Number(/^id: (\d+)$/m.exec(text)?.[1]), data: /^data: (.*)$/m.exec(text)?.[1] }))
}
