/** Splits `host:port` at the last colon. */
export function splitAddress(
  address: string,
): Readonly<{ host: string; port: number }> {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}
