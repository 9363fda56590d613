import { BufferedAnswer } from './bufferedAnswer'
import { REQUEST_ID_HEADER } from './responseWriter'

import type { Completion } from './callerAnswer'

/** Sends the answer of a plain service with its status and content type. */
export class ServiceAnswer extends BufferedAnswer {
  protected override sendEnd (completion: Completion): void {
    const body = Buffer.from(this.getText(), 'latin1')
    const headers: Record<string, string | number> = { [REQUEST_ID_HEADER]: this.requestId }
    if (completion.contentType !== '') headers['content-type'] = completion.contentType
    if (completion.status !== 204 && completion.status !== 304) headers['content-length'] = body.length
    this.response.writeHead(completion.status, headers)
    this.response.end(body)
  }
}
