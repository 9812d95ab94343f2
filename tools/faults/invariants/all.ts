import {
  answersAreWhole,
  everyRequestEnds,
  givenUpIsAnswered,
  keysRunOnce,
  neighboursAreServed,
  notRunIsTrue,
  oneFinalAnswer,
  poisonBlockIsBounded,
  poisonIsBounded,
} from "./answers.ts";
import {
  daemonsAgree,
  drainCutsNothing,
  fencingOnlyGrows,
  leavingGetsNoWork,
  memoryIsFree,
  oneOperatorWins,
  operatorsAreToldTheTruth,
  ordersAreCarriedOut,
  retriesAreBounded,
  revisionsOnlyGrow,
} from "./fleet_state.ts";
import type { Check, Invariant } from "./invariant.ts";

const ALWAYS: readonly Check[] = [
  everyRequestEnds,
  givenUpIsAnswered,
  oneFinalAnswer,
  answersAreWhole,
  notRunIsTrue,
  keysRunOnce,
  poisonIsBounded,
  poisonBlockIsBounded,
  neighboursAreServed,
  leavingGetsNoWork,
  drainCutsNothing,
  revisionsOnlyGrow,
  oneOperatorWins,
  fencingOnlyGrows,
  retriesAreBounded,
];

const SETTLED: readonly Check[] = [
  memoryIsFree,
  daemonsAgree,
  operatorsAreToldTheTruth,
  ordersAreCarriedOut,
];

/** All invariants by their functions' names. */
export const INVARIANTS: readonly Invariant[] = [
  ...ALWAYS.map((check) => ({
    name: check.name,
    when: "always" as const,
    check,
  })),
  ...SETTLED.map((check) => ({
    name: check.name,
    when: "settled" as const,
    check,
  })),
];
