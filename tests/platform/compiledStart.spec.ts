import { spawnSync } from 'node:child_process'
import { copyFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import os from 'node:os'
import path from 'node:path'

import { expect } from 'chai'

import { EXIT_CODES } from '../../src/cli/exitCodes'
import { readDeployArguments } from './gatewayProgram'

const FILES = ['gateway.cjs', 'gatewayProgram.cjs.wrapped', 'gatewayProgram.cjs.code']
const CODE_REJECTED_TEXT = 'does not fit'

/** Runs the program with the arguments of the deploy file but without settings, so that it exits once it is loaded. */
function runProgram (folder: string, extraFlags: string[] = []): { status: number | null, errors: string } {
  const { status, stderr } = spawnSync(process.execPath, [...readDeployArguments(), ...extraFlags, path.join(folder, 'gateway.cjs')], { env: { PATH: process.env.PATH }, encoding: 'utf8' })
  return { status, errors: stderr }
}

describe('start of the gateway from compiled code', () => {
  let folder: string

  before(() => {
    spawnSync(process.execPath, ['scripts/buildPlatform.mjs'])
    folder = mkdtempSync(path.join(os.tmpdir(), 'compiled-'))
    for (const file of FILES) copyFileSync(path.join('target', file), path.join(folder, file))
  })

  after(() => rmSync(folder, { recursive: true }))

  it('should use the code that the build compiled for the flags of the deploy file', () => {
    const { status, errors } = runProgram(folder)
    expect(status).to.equal(EXIT_CODES.findings)
    expect(errors).to.not.include(CODE_REJECTED_TEXT)
  })

  it('should compile again, and report it, when the compiled code does not match the flags', () => {
    const { status, errors } = runProgram(folder, ['--no-opt'])
    expect(status).to.equal(EXIT_CODES.findings)
    expect(errors).to.include(CODE_REJECTED_TEXT)
  })

  it('should compile again, and report it, when the compiled code is damaged', () => {
    const code = path.join(folder, 'gatewayProgram.cjs.code')
    const bytes = readFileSync(code)
    writeFileSync(code, bytes.subarray(0, bytes.length / 2))
    const { status, errors } = runProgram(folder)
    expect(status).to.equal(EXIT_CODES.findings)
    expect(errors).to.include(CODE_REJECTED_TEXT)
  })
})
