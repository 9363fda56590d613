import { Logger } from 'tslog'

/** Fields that link a log line to one attempt of a request. */
export interface RequestFields {
  requestId: string
  attemptId?: string
  workspace?: string
  className?: string
}

/** Lowest level that a process logs; `silent` turns logging off. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent'

const LEVEL_NUMBERS: Record<LogLevel, number> = { debug: 2, info: 3, warn: 4, error: 5, silent: 6 }

/** Creates the structured logger of a process, which writes one JSON object per line to standard output. */
export function createLogger (name: string, level: LogLevel = 'info'): Logger<unknown> {
  return new Logger({ name, minLevel: LEVEL_NUMBERS[level], type: level === 'silent' ? 'hidden' : 'json', hideLogPositionForProduction: true })
}
