import { readFileSync } from 'node:fs'

import { formatFindings } from '../config/finding'

import type { Result } from 'true-myth'
import type { DecisionLog } from '../base/decisionLog'
import type { Finding } from '../config/finding'

export interface SettingsWatcherOptions<Settings> {
  file: string
  /** Text of the file before its settings in force were loaded, so that a change meanwhile is not missed. */
  text: string | null
  load: (file: string) => Result<Settings, Finding[]>
  /** Applies new settings; returns the names of those that need a restart. */
  apply: (settings: Settings) => string[]
  log: DecisionLog
}

/** Milliseconds between two checks of the file. The platform may change it without a signal, and changes need not apply immediately. */
const POLL_INTERVAL_MS = 2000

/**
 * Applies the settings file again when it has changed, with or without a signal. A file with findings
 * is refused as a whole, and the settings in force stay.
 */
export class SettingsWatcher<Settings> {
  readonly #options: SettingsWatcherOptions<Settings>
  readonly #timer: NodeJS.Timeout
  #text: string | null

  constructor (options: SettingsWatcherOptions<Settings>) {
    this.#options = options
    this.#text = options.text
    this.#timer = setInterval(() => this.check('poll'), POLL_INTERVAL_MS)
    this.#timer.unref()
  }

  /** Checks the file immediately. */
  check (cause: 'poll' | 'signal'): void {
    const { file, load, apply, log } = this.#options
    const text = readSettingsText(file)
    const isChanged = text !== this.#text
    this.#text = text
    if (!isChanged) {
      if (cause === 'signal') log.write('notable', { event: 'settingsReloaded', cause, changed: false })
      return
    }
    const loaded = load(file)
    if (loaded.isErr) return log.write('notable', { event: 'settingsRefused', cause, findings: formatFindings(loaded.error).slice(0, 2000) })
    log.write('notable', { event: 'settingsReloaded', cause, changed: true, needRestart: apply(loaded.value) })
  }

  close (): void {
    clearInterval(this.#timer)
  }
}

/** Reads the settings file; returns null when it cannot be read at the moment, for example while it is replaced. */
export function readSettingsText (file: string): string | null {
  try {
    return readFileSync(file, 'utf8')
  } catch {
    return null
  }
}
