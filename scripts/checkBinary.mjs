// Checks that the built binary serves a request, with stand-ins, a sidecar and a gateway as processes.
import { execFileSync, spawn } from 'node:child_process'
import { createHash } from 'node:crypto'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { createInterface } from 'node:readline'

const BINARY = 'dist/tanagerwick'
const STANDIN = 'dist/standin.cjs'
const KEY = 'key-of-the-check'
const SECRET = 'secret-of-the-check'
const START_TIMEOUT_MS = 20_000
const SERVE_TIMEOUT_MS = 20_000
const RETRY_MS = 200
const environment = { ...process.env, TANAGERWICK_FLEET_SECRET: SECRET }
const children = []
const folder = mkdtempSync(path.join(tmpdir(), 'tanagerwick-check-'))

try {
  await checkBinary()
  process.stdout.write('the binary serves a request\n')
} catch (error) {
  process.stderr.write(`checking the binary failed: ${error.message}\n`)
  process.exitCode = 1
} finally {
  await Promise.all(children.map(child => stopChild(child)))
  rmSync(folder, { recursive: true, force: true })
}

async function checkBinary () {
  for (const flag of ['--version', '--help']) execFileSync(BINARY, [flag], { stdio: 'ignore' })
  const platformUrl = `http://${await startChild(process.execPath, [STANDIN, 'platform'])}`
  const engine = await startChild(process.execPath, [STANDIN, 'endpoints', '--spec', JSON.stringify([{ kind: 'engine', name: 'engine-1', models: ['small'], stepMs: 2 }])])
  writeConfig()
  execFileSync(BINARY, ['config', 'apply', folder, '--platform', platformUrl], { env: environment, stdio: ['ignore', 'ignore', 'inherit'] })
  const common = ['--listen', '127.0.0.1:0', '--domain', 'a', '--platform', platformUrl]
  await startChild(BINARY, ['sidecar', '--id', 'sidecar-1', '--endpoint-name', 'engine-1', '--endpoint-address', engine, ...common])
  const gateway = await startChild(BINARY, ['gateway', '--id', 'gateway-1', ...common])
  await checkAnswer(gateway)
  execFileSync(BINARY, ['state', gateway], { env: environment, stdio: 'ignore' })
  for (const child of children.filter(child => child.spawnfile === BINARY)) {
    const code = await stopChild(child)
    if (code !== 0) throw new Error(`a process exited with code ${code} after SIGTERM`)
  }
}

/** Sends requests until the fleet is ready, then compares a streamed answer with the whole one. */
async function checkAnswer (gateway) {
  const deadline = Date.now() + SERVE_TIMEOUT_MS
  let answer = await sendChat(gateway, false)
  while (answer.status !== 200 && Date.now() < deadline) {
    await new Promise(resolve => setTimeout(resolve, RETRY_MS))
    answer = await sendChat(gateway, false)
  }
  if (answer.status !== 200) throw new Error(`the gateway answered ${answer.status}: ${answer.text}`)
  const whole = JSON.parse(answer.text).choices[0].message.content
  const stream = await sendChat(gateway, true)
  const events = stream.text.split('\n\n').filter(event => event !== '').map(event => event.slice('data: '.length))
  const text = events.slice(0, -1).map(event => JSON.parse(event).choices[0].delta.content ?? '').join('')
  if (events.at(-1) !== '[DONE]' || text !== whole || whole === '') throw new Error('the streamed answer differs from the whole one')
}

async function sendChat (gateway, stream) {
  const response = await fetch(`http://${gateway}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${KEY}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'small', messages: [{ role: 'user', content: 'hello' }], max_tokens: 32, stream })
  })
  return { status: response.status, text: await response.text() }
}

function writeConfig () {
  const digest = createHash('sha256').update(KEY).digest('hex')
  writeFileSync(path.join(folder, '10-check.yaml'), `classes:
  check: { tier: 1, firstTokenTargetMs: 710, betweenTokensTargetMs: 53, deadlineMs: 20000, share: 0.1, retryRatio: 0.1 }
workspaces:
  check: { keyDigests: [${digest}], classes: [check], defaultClass: check, requestsPerSecond: 100, maxConcurrent: 100 }
endpoints:
  engine-1: { kind: engine, slots: 8, models: [small] }
`)
}

/** Starts a process and resolves with the listening address that it logs. */
async function startChild (program, args) {
  const child = spawn(program, args, { env: environment, stdio: ['ignore', 'pipe', 'inherit'] })
  children.push(child)
  return await new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error(`${args[0]} did not listen before the start timeout`)), START_TIMEOUT_MS)
    child.on('error', reject)
    child.on('exit', code => reject(new Error(`${args[0]} exited with code ${code}`)))
    createInterface({ input: child.stdout }).on('line', line => {
      const address = /"listening":"([^"]+)"/.exec(line)?.[1]
      if (address === undefined) return
      clearTimeout(timer)
      resolve(address)
    })
  })
}

async function stopChild (child) {
  if (child.exitCode === null && child.signalCode === null) {
    const exited = new Promise(resolve => child.once('exit', resolve))
    child.kill('SIGTERM')
    await exited
  }
  return child.exitCode
}
