import { spawnSync } from 'node:child_process'

import { expect } from 'chai'

import { answerWhole, buildCallerRequest, sendRaw, SIGNATURE_LINE } from '../relay/relayFixture'
import { GatewayProgram, readDeployArguments } from './gatewayProgram'

import type { RawAnswer, ReceivedRequest } from '../relay/relayFixture'

/** Control bytes and the blank. */
const ODD_BYTES = [...Array(33).keys(), 127]
const FIELDS = { 'X-Odd': 'y', 'Content-Length': '3', 'Transfer-Encoding': 'chunked', Connection: 'close', 'Tanagerwick-Runner-Seal': '9.9.9' }
const PLACES = ['start', 'middle', 'end'] as const
const INTERIM = { 'no interim head': '', 'a 100': 'HTTP/1.1 100 Continue\r\n\r\n', 'a 103': 'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n' }
/** What the HTTP parser of the runtime accepts depends on its release and on flags of the process. */
const PARSERS = { strict: [], lenient: ['--insecure-http-parser'] }
const PIECE_BYTES = 3

// callers got the line passed on, or what followed it as the body
describe('an answer whose head has a field name with a blank or a control byte', () => {
  let program: GatewayProgram
  /** Head and body of the answers to requests that are not named `sound`. */
  let text = ''
  let isInPieces = false

  before(() => { spawnSync(process.execPath, ['scripts/buildPlatform.mjs']) })

  afterEach(async () => await program.close())

  async function start (parser: keyof typeof PARSERS): Promise<void> {
    program = new GatewayProgram({ nodeArguments: [...readDeployArguments(), ...PARSERS[parser]], answer: request => request.requestId.startsWith('sound') ? answerWhole(request) : writeOdd(request) })
    await program.start()
    await program.waitUntilReady()
  }

  function writeOdd (request: ReceivedRequest): void {
    const bytes = Buffer.from(text.replace('ID', request.requestId), 'latin1')
    if (!isInPieces) {
      request.socket.end(bytes)
      return
    }
    const writeFrom = (from: number): void => {
      request.socket.write(bytes.subarray(from, from + PIECE_BYTES))
      if (from + PIECE_BYTES < bytes.length) setImmediate(() => writeFrom(from + PIECE_BYTES))
      else request.socket.end()
    }
    writeFrom(0)
  }

  async function send (id: string): Promise<RawAnswer> {
    return await sendRaw(program.port, buildCallerRequest({ id, method: 'POST', headers: ['Connection: close'] }))
  }

  function expectNoAnswer ({ text: reply }: RawAnswer, message: string): void {
    expect(reply, message).to.match(/^HTTP\/1\.1 502 /).and.not.to.include('X-Odd').and.not.to.include('abc')
  }

  for (const parser of ['strict', 'lenient'] as const) {
    for (const [interim, before] of Object.entries(INTERIM)) {
      for (const place of PLACES) {
        it(`should never be passed on (${place} of the name, after ${interim}, ${parser} parser)`, async () => {
          await start(parser)
          let count = 0
          for (const [name, value] of Object.entries(FIELDS)) {
            for (const byte of ODD_BYTES) {
              count += 1
              isInPieces = byte % 2 === 0
              // the connection of the answer before is kept, so that the odd one is the second on it
              if (byte % 3 === 0) expect((await send(`sound-${count}`)).text).to.match(/^HTTP\/1\.1 200 /)
              text = `${before}${['HTTP/1.1 200 OK', SIGNATURE_LINE, 'Tanagerwick-Request-Attempt-Id: ID', `${addByte(name, byte, place)}: ${value}`, 'Content-Length: 3', '', 'abc'].join('\r\n')}`
              expectNoAnswer(await send(`odd-${count}`), `byte ${byte} in ${name}`)
            }
          }
        }).timeout(60_000)
      }
    }

    it(`should be told from heads with other line ends and folded lines, which are not passed on either (${parser} parser)`, async () => {
      await start(parser)
      const lines = ['HTTP/1.1 200 OK', SIGNATURE_LINE, 'Tanagerwick-Request-Attempt-Id: ID', 'X-Odd: y', 'Content-Length: 3', '', 'abc']
      isInPieces = false
      for (const odd of [lines.join('\n'), lines.join('\r'), lines.join('\r\n').replace('X-Odd', '\tX-Odd'), lines.join('\r\n').replace('X-Odd: y', 'X-Odd'), lines.join('\r\n').replace('X-Odd', '')]) {
        text = odd
        expectNoAnswer(await send('odd-1'), JSON.stringify(odd))
      }
    })

    it(`should be told from sound heads with unusual names and values (${parser} parser)`, async () => {
      await start(parser)
      isInPieces = true
      text = ['HTTP/1.1 200', SIGNATURE_LINE, 'Tanagerwick-Request-Attempt-Id: ID', "!#$%&'*+-.^_`|~09azAZ: \tv\xe4lue ", 'Empty:', 'Content-Length: 3', '', 'abc'].join('\r\n')
      const { text: reply } = await send('odd-1')
      expect(reply).to.match(/^HTTP\/1\.1 200 [^]*\r\n\r\nabc$/).and.to.include("!#$%&'*+-.^_`|~09azAZ: v\xe4lue\r\n")
    })
  }
})

function addByte (name: string, byte: number, place: typeof PLACES[number]): string {
  const text = String.fromCharCode(byte)
  switch (place) {
    case 'start': return text + name
    case 'middle': return name.slice(0, 3) + text + name.slice(3)
    case 'end': return name + text
  }
}
