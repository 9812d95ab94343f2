/** Fails the case that runs, and says why. */
export function expectThat(holds: boolean, otherwise: string): void {
  if (!holds) throw new Error(otherwise);
}

/** Fails the case that runs unless two values are equal. */
export function expectSame<Value>(
  what: string,
  found: Value,
  wanted: Value,
): void {
  const [is, should] = [JSON.stringify(found), JSON.stringify(wanted)];
  expectThat(is === should, `${what}: found ${is}, wanted ${should}`);
}
