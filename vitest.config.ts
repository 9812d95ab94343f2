import { defineConfig } from "vitest/config";

export default defineConfig({
  test: {
    include: [
      "src/**/*_test.ts",
      "platform/**/*_test.ts",
      "stand_ins/**/*_test.ts",
      "tools/**/*_test.ts",
    ],
    testTimeout: 600_000,
    hookTimeout: 600_000,
  },
});
