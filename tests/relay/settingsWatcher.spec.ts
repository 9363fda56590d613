import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import os from 'node:os'
import path from 'node:path'

import { expect } from 'chai'
import { ok } from 'true-myth/result'

import { DecisionLog } from '../../src/base/decisionLog'
import { readSettingsText, SettingsWatcher } from '../../src/relay/settingsWatcher'

const LOG_BYTES_PER_SECOND = 1_000_000

describe('watcher of the settings file', () => {
  let folder: string

  beforeEach(() => { folder = mkdtempSync(path.join(os.tmpdir(), 'settings-')) })

  afterEach(() => rmSync(folder, { recursive: true }))

  // a change between the load of the settings and the start of the watcher was once missed
  it('should apply a change that was made while the process was starting', () => {
    const file = path.join(folder, 'settings.yaml')
    writeFileSync(file, 'before')
    const text = readSettingsText(file)
    writeFileSync(file, 'after')
    const applied: string[] = []
    const watcher = new SettingsWatcher({
      file,
      text,
      load: () => ok('loaded again'),
      apply: settings => {
        applied.push(settings)
        return []
      },
      log: new DecisionLog({ instance: 'gateway-1', bytesPerSecond: LOG_BYTES_PER_SECOND, destination: { write: () => true, flush: handleDone => handleDone() } })
    })
    watcher.check('signal')
    watcher.check('signal')
    watcher.close()
    expect(applied).to.deep.equal(['loaded again'])
  })
})
