const MAX_PORT = 65_535;

/** Whether a number is a port that can be connected to. */
export function isPort(port: number): boolean {
  return Number.isInteger(port) && port > 0 && port <= MAX_PORT;
}

/** Splits `host:port` at the last colon; the port is not checked. */
export function splitAddress(
  address: string,
): Readonly<{ host: string; port: number }> {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}
