import { LabeledHistogram } from './labeledHistogram'
import { formatLabels, LabelSets } from './labelSets'

import type { HistogramSummary } from './labeledHistogram'
import type { Labels } from './labelSets'

const METRIC_NAME_PATTERN = /^[a-z][a-z0-9_]*$/

/** A gauge value at the time of a scrape. */
export interface GaugeSample {
  labels: Labels
  value: number
}

/** A monotonic counter for each set of labels. */
export class Counter {
  readonly #valuesByLabels = new LabelSets<{ value: number }>(() => ({ value: 0 }))

  /**
   * Adds `amount` to the count of `labels`.
   *
   * @example
   * refusals.add({ code: 'overloaded' })
   */
  add (labels: Labels = {}, amount = 1): void {
    this.#valuesByLabels.getOrCreate(labels).value += amount
  }

  format (name: string): string[] {
    return this.#valuesByLabels.list().map(({ labels, item }) => `${name}${formatLabels(labels)} ${item.value}`)
  }
}

/**
 * Holds the metrics of one process and renders them as Prometheus text. The number of label sets
 * of each metric is limited; further sets are counted under the label value `other`.
 *
 * @example
 * const metrics = new Metrics()
 * const firstToken = metrics.createHistogram('first_token_ms', 'Milliseconds to the first token.')
 * firstToken.record(412, { class: 'panel' })
 */
export class Metrics {
  readonly #families = new Map<string, { head: string, format: () => string[] }>()
  readonly #histograms = new Map<string, LabeledHistogram>()

  createCounter (name: string, help: string): Counter {
    const counter = new Counter()
    this.#register(name, 'counter', help, fullName => counter.format(fullName))
    return counter
  }

  /** Registers a gauge whose samples `read` returns at each scrape. */
  registerGauge (name: string, help: string, read: () => number | GaugeSample[]): void {
    this.#register(name, 'gauge', help, fullName => formatGauge(fullName, read()))
  }

  /** Creates a histogram of milliseconds. */
  createHistogram (name: string, help: string): LabeledHistogram {
    const histogram = new LabeledHistogram()
    this.#register(name, 'histogram', help, fullName => histogram.format(fullName))
    this.#histograms.set(name, histogram)
    return histogram
  }

  /** Renders all metrics in the Prometheus text format. */
  format (): string {
    const lines = [...this.#families.values()].flatMap(family => [family.head, ...family.format()])
    return `${lines.join('\n')}\n`
  }

  /** Returns count, mean and percentiles of each histogram, for the state dump. */
  readSummaries (): Record<string, HistogramSummary[]> {
    return Object.fromEntries([...this.#histograms].map(([name, histogram]) => [name, histogram.readSummaries()]))
  }

  #register (name: string, type: string, help: string, format: (fullName: string) => string[]): void {
    if (!METRIC_NAME_PATTERN.test(name) || this.#families.has(name)) throw new Error(`metric '${name}' is already registered, or its name is not in snake case`)
    const fullName = `tanagerwick_${name}`
    this.#families.set(name, { head: `# HELP ${fullName} ${help}\n# TYPE ${fullName} ${type}`, format: () => format(fullName) })
  }
}

function formatGauge (name: string, samples: number | GaugeSample[]): string[] {
  if (typeof samples === 'number') return [`${name} ${samples}`]
  return samples.map(({ labels, value }) => `${name}${formatLabels(labels)} ${value}`)
}
