import { configs, plugins } from 'eslint-config-airbnb-extended';

/** Modules that do input or output, keep time or write logs: the pure packages may not import them. */
const inputOutputModules = [
  'node:*',
  'net',
  'fs',
  'http',
  'dgram',
  'timers',
  'mysql2',
  'mysql2/*',
  '@grpc/*',
  'fastify',
  'bunyan',
  '@wisterialift/platform',
  '@wisterialift/peer',
  '@wisterialift/mysql',
  '@wisterialift/telemetry',
  '@wisterialift/proxy',
  '@wisterialift/cli',
  '@wisterialift/gateway',
  '@wisterialift/platform-adapter',
];

export default [
  { ignores: ['**/dist/**', 'target/**', '**/node_modules/**', '**/generated/**', 'coverage/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  {
    languageOptions: {
      parserOptions: { projectService: { allowDefaultProject: ['*.mjs', 'scripts/*.mjs'] } },
    },
  },
  {
    // Layout belongs to the formatter, which is set to match the style guide.
    rules: Object.fromEntries(
      Object.keys(plugins.stylistic.plugins['@stylistic'].rules).map((name) => [
        `@stylistic/${name}`,
        'off',
      ]),
    ),
  },
  {
    rules: {
      // House style: named exports with index files.
      'import-x/prefer-default-export': 'off',
      'import-x/no-default-export': 'error',
      // House style: factory functions that close over their state may be used before their line.
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, classes: true }],
      // The compiler resolves imports and checks them.
      'import-x/no-unresolved': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/extensions': 'off',
      'import-x/no-cycle': 'error',
      'import-x/no-useless-path-segments': 'off',
      'import-x/no-rename-default': 'off',
      '@typescript-eslint/consistent-type-definitions': ['error', 'interface'],
      'no-continue': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      'no-restricted-syntax': 'off',
      // Retry and replay loops are sequential by intent.
      'no-await-in-loop': 'off',
    },
  },
  {
    files: ['packages/{core,schema,pooling}/src/**/*.ts'],
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-imports': ['error', { patterns: inputOutputModules }],
      'no-restricted-globals': [
        'error',
        'setTimeout',
        'setInterval',
        'setImmediate',
        'process',
        'performance',
        'fetch',
        'console',
      ],
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now', message: 'Time is an input of the core.' },
        { object: 'Math', property: 'random', message: 'Random numbers are an input of the core.' },
      ],
    },
  },
  {
    files: ['*.config.ts', '*.config.mjs', '*.mjs', 'scripts/**', 'tests/build-before-tests.ts'],
    rules: { 'import-x/no-default-export': 'off', 'no-console': 'off', 'no-undef': 'off' },
  },
];
