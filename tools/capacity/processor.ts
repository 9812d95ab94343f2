import process from "node:process";
import { median, standardDeviation } from "simple-statistics";

const ROUNDS = 7;

/** Processor time of one piece of work. */
export type ProcessorTime = Readonly<{
  /** Median over the rounds, in microseconds, all threads of the process together. */
  us: number;
  /** Standard deviation over the rounds. */
  noiseUs: number;
}>;

/** Measures the processor time of `work`, which does `count` pieces; the first round only warms up. */
export async function processorTime(
  count: number,
  work: () => void | Promise<void>,
): Promise<ProcessorTime> {
  await work();
  const rounds: number[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const before = process.cpuUsage();
    await work();
    const { user, system } = process.cpuUsage(before);
    rounds.push((user + system) / count);
  }
  return { us: median(rounds), noiseUs: standardDeviation(rounds) };
}
